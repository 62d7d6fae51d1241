#!/usr/bin/env node
/** The command line. */
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { readOperatorSettings } from "./config/operator.js";
import { parseSettings, readText, SettingsError, type Settings } from "./config/settings.js";
import { Controller } from "./controller/controller.js";
import { collectLinkReports, linkExitCode, linkTable } from "./cli/link-report.js";
import { TcpPeerNetwork } from "./peers/tcp-peer-network.js";
import { createLogger } from "./runtime/log.js";
import { peerTimeoutMs } from "./controller/timings.js";

/** The exit code for settings that cannot be used. */
const BAD_SETTINGS = 2;

interface Files {
  config: string;
  operator?: string;
}

function needFiles(options: Partial<Files>): Files {
  if (options.config === undefined) throw new SettingsError("--config <file> is needed");
  return { ...options, config: options.config };
}

async function load(files: Files) {
  return {
    settings: parseSettings(readText(files.config)),
    operator: await readOperatorSettings(files.operator),
  };
}

/** Says what is wrong with the settings in one line and ends. */
async function orComplain(work: () => Promise<void>): Promise<void> {
  try {
    await work();
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    process.stderr.write(`fernpond: ${err.message}\n`);
    process.exitCode = BAD_SETTINGS;
  }
}

async function serve(files: Files): Promise<void> {
  const { settings, operator } = await load(files);
  const log = createLogger(settings.node);
  process.on("unhandledRejection", (err) => {
    log.error({ err }, "unhandled rejection");
  });
  await new Controller(settings, operator, log).start();
}

async function printLinks(settings: Settings, asJson: boolean): Promise<void> {
  const own = { node: settings.node, address: settings.peerListen };
  const timeoutMs = peerTimeoutMs(settings);
  const network = new TcpPeerNetwork([own, ...settings.peers], timeoutMs, createLogger(settings.node));
  const reports = await collectLinkReports(settings, network);
  network.close();
  const text = asJson ? JSON.stringify(reports, null, 2) : await linkTable(reports);
  process.stdout.write(`${text}\n`);
  process.exitCode = linkExitCode(reports);
}

const { version } = JSON.parse(readFileSync(new URL("../package.json", import.meta.url), "utf8")) as {
  version: string;
};

const program = new Command("fernpond")
  .description("A cluster scheduler: rents machines and places batch tasks on them, through failures.")
  .version(version)
  .option("--config <file>", "the platform's settings (TOML)")
  .option("--operator <file>", "the operators' own settings (HCL)")
  .action((options: Partial<Files>) => {
    return orComplain(() => serve(needFiles(options)));
  });

program
  .command("check-config")
  .description("check the settings, say what is wrong with them, and end")
  .action(() => {
    return orComplain(async () => {
      await load(needFiles(program.opts<Partial<Files>>()));
      process.stdout.write("the settings are fine\n");
    });
  });

program
  .command("links")
  .description(
    "print the state of all controllers' links; exit code 1 if one is lost, 3 if a controller is silent",
  )
  .option("--json", "as JSON")
  .action((options: { json?: boolean }) => {
    return orComplain(async () => {
      const { settings } = await load(needFiles(program.opts<Partial<Files>>()));
      await printLinks(settings, options.json ?? false);
    });
  });

await program.parseAsync();
