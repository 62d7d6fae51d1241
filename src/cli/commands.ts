/** The command line: its commands, options and exit codes. */
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { readOperatorSettings, type OperatorSettings } from "../config/operator.js";
import { readTextFile, SettingsError } from "../config/settings-file.js";
import { parseSettings, type Settings } from "../config/settings.js";
import { Controller } from "../controller/controller.js";
import { peerTimeoutMs } from "../controller/timings.js";
import { TcpPeerNetwork } from "../peers/tcp-peer-network.js";
import { createLogger } from "../runtime/log.js";
import { collectLinkReports, linkExitCode, linkTable } from "./link-report.js";

/** The exit code for settings that cannot be used. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** The options of all commands, as commander gives them. */
interface GlobalOptions {
  /** The platform's settings file. */
  config?: string;
  /** The operators' settings file. */
  operator?: string;
}

interface LoadedSettings {
  settings: Settings;
  operator: OperatorSettings;
}

/** @throws SettingsError where a file is missing or a field is wrong. */
async function loadSettings({ config, operator }: GlobalOptions): Promise<LoadedSettings> {
  if (config === undefined) throw new SettingsError("--config <file> is needed");
  return {
    settings: parseSettings(readTextFile(config)),
    operator: await readOperatorSettings(operator),
  };
}

/** Reports unusable settings in one line on stderr and sets the exit code; passes on all other errors. */
async function reportSettingsError(command: () => Promise<void>): Promise<void> {
  try {
    await command();
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    process.stderr.write(`fernpond: ${err.message}\n`);
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
  }
}

async function startController(options: GlobalOptions): Promise<void> {
  const { settings, operator } = await loadSettings(options);
  const log = createLogger(settings.node);
  process.on("unhandledRejection", (err) => {
    log.error({ err }, "unhandled rejection");
  });
  await new Controller(settings, operator, log).start();
}

async function checkConfig(options: GlobalOptions): Promise<void> {
  await loadSettings(options);
  process.stdout.write("the settings are fine\n");
}

async function printLinks(options: GlobalOptions, asJson: boolean): Promise<void> {
  const { settings } = await loadSettings(options);
  const self = { node: settings.node, address: settings.peerListen };
  const log = createLogger(settings.node);
  const network = new TcpPeerNetwork([self, ...settings.peers], peerTimeoutMs(settings), log);
  const reports = await collectLinkReports(settings, network);
  network.close();
  const text = asJson ? JSON.stringify(reports, null, 2) : await linkTable(reports);
  process.stdout.write(`${text}\n`);
  process.exitCode = linkExitCode(reports);
}

function readVersion(packageFile: URL): string {
  const { version } = JSON.parse(readFileSync(packageFile, "utf8")) as { version: string };
  return version;
}

function createProgram(version: string): Command {
  const program = new Command("fernpond")
    .description("A cluster scheduler: rents machines and places batch tasks on them, through failures.")
    .version(version)
    .option("--config <file>", "the platform's settings (TOML)")
    .option("--operator <file>", "the operators' own settings (HCL)")
    .action((options: GlobalOptions) => reportSettingsError(() => startController(options)));

  program
    .command("check-config")
    .description("check the settings, say what is wrong with them, and end")
    .action(() => reportSettingsError(() => checkConfig(program.opts<GlobalOptions>())));

  program
    .command("links")
    .description(
      "print the state of all controllers' links; exit code 1 if one is lost, 3 if a controller is silent",
    )
    .option("--json", "as JSON")
    .action(({ json = false }: { json?: boolean }) =>
      reportSettingsError(() => printLinks(program.opts<GlobalOptions>(), json)),
    );
  return program;
}

/** Parses the command line of this process and runs the command; `packageFile` is the package.json with the version. */
export async function runCommandLine(packageFile: URL): Promise<void> {
  await createProgram(readVersion(packageFile)).parseAsync();
}
