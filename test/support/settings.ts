import { parseSettings, type Settings } from "../../src/config/settings.js";

export interface SettingsOptions {
  node?: string;
  listen?: string;
  back?: string;
  peers?: { node: string; address: string }[];
  cloud?: string;
  state?: string;
  teams?: string;
  controllers?: number;
  reportS?: number;
  leaseS?: number;
  cancelS?: number;
}

/** A settings file as a platform would hand it over. */
export function settingsText(o: SettingsOptions = {}): string {
  const peers = (o.peers ?? []).map(
    (p) => `[[seeds]]\nnode_name = "${p.node}"\ndomain = "north"\naddress = "${p.address}"\n`,
  );
  return `
node_name = "${o.node ?? "node-0"}"
domain = "north"
serve_on = "${o.listen ?? "127.0.0.1:0"}"
back = "${o.back ?? "127.0.0.1:0"}"
${peers.join("\n")}
[services]
cloud = "${o.cloud ?? "127.0.0.1:1"}"
state = "${o.state ?? "127.0.0.1:1"}"
[settings]
initial_size = ${o.controllers ?? 1}
zones = ["north", "south"]
${o.teams ?? `[[settings.teams]]\nname = "free"\n[[settings.teams]]\nname = "capped"\ncpus = 2.0\ncpus_max = 4.0`}
[settings.workers]
report_s = ${o.reportS ?? 2}
lease_s = ${o.leaseS ?? 10}
cancel_s = ${o.cancelS ?? 30}
[settings.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 8.0
list_lag_s = 3.0
`;
}

export const testSettings = (o: SettingsOptions = {}): Settings => parseSettings(settingsText(o));
