#!/usr/bin/env node
/** The entry point of the program. Bundled or not, it is located one directory below package.json. */
import { runCommandLine } from "./cli/commands.js";

await runCommandLine(new URL("../package.json", import.meta.url));
