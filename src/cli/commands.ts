/** The command-line interface: commands, options and exit codes. */
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

/** Exit code for missing or invalid settings. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** The options of all commands, as parsed by commander. */
interface GlobalOptions {
  /** Path of the platform's settings file. */
  config?: string;
  /** Path of the operators' settings file. */
  operator?: string;
}

interface LoadedSettings {
  settings: Settings;
  operator: OperatorSettings;
}

/** @throws SettingsError if a file is missing or a field is invalid */
async function loadSettings({ config, operator }: GlobalOptions): Promise<LoadedSettings> {
  if (config === undefined) throw new SettingsError("--config <file> is required");
  return {
    settings: parseSettings(readTextFile(config)),
    operator: await readOperatorSettings(operator),
  };
}

/** Runs a command; reports a SettingsError as one line on stderr and sets the exit code. Other errors are rethrown. */
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
    .description("Cluster scheduler that rents machines and runs batch tasks on them through failures.")
    .version(version)
    .option("--config <file>", "path of the platform's settings file (TOML)")
    .option("--operator <file>", "path of the operators' settings file (HCL)")
    .action((options: GlobalOptions) => reportSettingsError(() => startController(options)));

  program
    .command("check-config")
    .description("validate the settings files, report the first error and exit")
    .action(() => reportSettingsError(() => checkConfig(program.opts<GlobalOptions>())));

  program
    .command("links")
    .description(
      "print the state of all controllers' links; exits with 1 if a link is lost, 3 if a controller does not respond, " +
        "4 if a link monitor is off",
    )
    .option("--json", "print the report as JSON")
    .action(({ json = false }: { json?: boolean }) =>
      reportSettingsError(() => printLinks(program.opts<GlobalOptions>(), json)),
    );
  return program;
}

/**
 * Parses the command line of this process and runs the command; `packageFile` is the package.json that has the version.
 */
export async function runCommandLine(packageFile: URL): Promise<void> {
  await createProgram(readVersion(packageFile)).parseAsync();
}
