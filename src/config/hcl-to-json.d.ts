declare module "hcl-to-json" {
  export default function parseHcl(text: string): unknown;
}
