#!/usr/bin/env node
/** The entry point: starts the command line. Bundled or not, it lies one folder below package.json. */
import { runCommandLine } from "./cli/commands.js";

await runCommandLine(new URL("../package.json", import.meta.url));
