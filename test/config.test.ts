/** Settings files: which ones are accepted, which ones are rejected, and the errors that are reported. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, describe, test } from "node:test";
import { readOperatorSettings } from "../src/config/operator.js";
import { SettingsError } from "../src/config/settings-file.js";
import { parseSettings } from "../src/config/settings.js";
import { settingsText } from "./support/settings.js";

const folder = mkdtempSync(join(tmpdir(), "fernpond-config-"));
after(() => {
  rmSync(folder, { recursive: true });
});

/** Writes a file and returns its path. */
function writeFile(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

void describe("config/settings", () => {
  test("unknown fields are ignored, and the error for a missing or invalid field names the field", () => {
    const good = settingsText();
    assert.equal(parseSettings(`colour = "green"\n${good}`).node, "node-0");
    const rejected: [text: string, message: RegExp, field: string | null][] = [
      [good.replace('node_name = "node-0"', ""), /^node_name: /, "node_name"],
      [
        good.replace("lease_s = 10", 'lease_s = "long"'),
        /^settings\.workers\.lease_s: /,
        "settings.workers.lease_s",
      ],
      [
        good.replace('serve_on = "127.0.0.1:0"', 'serve_on = "here"'),
        /^serve_on: expected host:port/,
        "serve_on",
      ],
      [good.replace("txn_ops = 8", "txn_ops = 1"), /^settings\.state\.txn_ops: /, "settings.state.txn_ops"],
      ["= nothing", /^not TOML: /, null],
    ];
    for (const [text, message, field] of rejected)
      assert.throws(
        () => parseSettings(text),
        (err: Error) =>
          err instanceof SettingsError &&
          err.field === field &&
          message.test(err.message) &&
          !err.message.includes("\n"),
      );
  });
});

void describe("config/operator", () => {
  test("operator settings that are not given get defaults, and a misspelt field is rejected", async () => {
    assert.equal((await readOperatorSettings(undefined)).maxMachines, 10_000);
    const valid = writeFile("some.hcl", "sizing {\n  max_machines = 40 # a cap\n  idle_wait_s = 7.5\n}\n");
    const settings = await readOperatorSettings(valid);
    assert.deepEqual([settings.maxMachines, settings.idleWaitMs, settings.passSpacingMs], [40, 7500, 1000]);
    const misspelt = writeFile("wrong.hcl", "sizing {\n  max_machine = 40\n}\n");
    await assert.rejects(readOperatorSettings(misspelt), (err) => err instanceof SettingsError);
  });

  test("the link monitor is off by default, the deployed file enforces the defaults, and an invalid value is named in the error", async () => {
    const { links } = await readOperatorSettings(undefined);
    assert.equal(links.mode, "off");
    assert.deepEqual((await readOperatorSettings("deploy/half-cut.hcl")).links, {
      ...links,
      mode: "enforce",
    });
    const rejected: [line: string, message: RegExp][] = [
      ['mode = "on"', /links\.mode/],
      ["down_after_reports = 0", /links\.down_after_reports/],
      ["probe_share = 0.5", /links\.probe_share/],
      ["flap_bound = 1.5", /links\.flap_bound/],
      ["down_after = 3", /links/],
    ];
    for (const [line, message] of rejected)
      await assert.rejects(
        readOperatorSettings(writeFile("links.hcl", `links {\n  ${line}\n}\n`)),
        (err: Error) =>
          err instanceof SettingsError && message.test(err.message) && !err.message.includes("\n"),
      );
  });
});

void describe("cli/commands", () => {
  test("missing or invalid settings cause exit code 2 and one line on stderr", () => {
    const run = (...args: string[]) => {
      const { status, stdout, stderr } = spawnSync(process.execPath, ["target/fernpond.js", ...args], {
        encoding: "utf8",
      });
      return { status, stdout, stderr };
    };
    const good = writeFile("good.toml", settingsText());
    assert.equal(run("check-config", "--config", good).status, 0);
    const wrong = writeFile("bad.toml", settingsText().replace("rps = 100.0", "rps = -1.0"));
    for (const args of [
      ["check-config", "--config", wrong],
      ["--config", wrong],
      ["--config", join(folder, "none")],
      [],
    ]) {
      const { status, stderr } = run(...args);
      assert.deepEqual([status, stderr.trimEnd().split("\n").length], [2, 1], stderr);
    }
    assert.match(run("--version").stdout, /^\d+\.\d+\.\d+\n$/);
  });
});
