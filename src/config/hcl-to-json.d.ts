/** Type declarations for hcl-to-json, which ships without any. */

declare module "hcl-to-json" {
  export default function parseHcl(text: string): unknown;
}
