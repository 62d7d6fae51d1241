/** The types of hcl-to-json, which has none of its own. */

declare module "hcl-to-json" {
  export default function parseHcl(text: string): unknown;
}
