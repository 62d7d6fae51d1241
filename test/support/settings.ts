/** Settings files for tests. */
import { parseSettings, type Settings } from "../../src/config/settings.js";

/** The settings that tests may override. */
export interface SettingsOptions {
  node?: string;
  listen?: string;
  /** The address at which the controller listens for other controllers, host:port. */
  peerListen?: string;
  peers?: { node: string; address: string }[];
  cloud?: string;
  state?: string;
  /** The `teams` tables in TOML. */
  teams?: string;
  controllers?: number;
  heartbeatIntervalS?: number;
  leaseS?: number;
  cancelS?: number;
}

/** Builds the text of a settings file in the form that the platform provides. */
export function settingsText(options: SettingsOptions = {}): string {
  const peers = (options.peers ?? []).map(
    ({ node, address }) => `[[seeds]]\nnode_name = "${node}"\ndomain = "north"\naddress = "${address}"\n`,
  );
  return `
node_name = "${options.node ?? "node-0"}"
domain = "north"
serve_on = "${options.listen ?? "127.0.0.1:0"}"
back = "${options.peerListen ?? "127.0.0.1:0"}"
${peers.join("\n")}
[services]
cloud = "${options.cloud ?? "127.0.0.1:1"}"
state = "${options.state ?? "127.0.0.1:1"}"
[settings]
initial_size = ${options.controllers ?? 1}
zones = ["north", "south"]
${options.teams ?? `[[settings.teams]]\nname = "free"\n[[settings.teams]]\nname = "capped"\ncpus = 2.0\ncpus_max = 4.0`}
[settings.workers]
report_s = ${options.heartbeatIntervalS ?? 2}
lease_s = ${options.leaseS ?? 10}
cancel_s = ${options.cancelS ?? 30}
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

/** Builds and parses a settings file. */
export const testSettings = (options: SettingsOptions = {}): Settings => parseSettings(settingsText(options));
