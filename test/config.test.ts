/** Settings files: what is taken, what is refused and how the refusal reads. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { readOperatorSettings } from "../src/config/operator.js";
import { parseSettings, SettingsError } from "../src/config/settings.js";
import { settingsText } from "./support/settings.js";

const folder = mkdtempSync(join(tmpdir(), "fernpond-config-"));
after(() => {
  rmSync(folder, { recursive: true });
});

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

test("unknown fields are ignored, and what is missing or wrong is named", () => {
  const good = settingsText();
  assert.equal(parseSettings(`colour = "green"\n${good}`).node, "node-0");
  const refusals: [string, RegExp][] = [
    [good.replace('node_name = "node-0"', ""), /^node_name: /],
    [good.replace("lease_s = 10", 'lease_s = "long"'), /^settings\.workers\.lease_s: /],
    [good.replace('serve_on = "127.0.0.1:0"', 'serve_on = "here"'), /^serve_on: expected host:port/],
    [good.replace("txn_ops = 8", "txn_ops = 1"), /^settings\.state\.txn_ops: /],
    ["= nothing", /^not TOML: /],
  ];
  for (const [text, message] of refusals)
    assert.throws(
      () => parseSettings(text),
      (err: Error) =>
        err instanceof SettingsError && message.test(err.message) && !err.message.includes("\n"),
    );
});

test("operators' settings have defaults, and a misspelt one is refused", async () => {
  assert.equal((await readOperatorSettings(undefined)).maxMachines, 10_000);
  const some = file("some.hcl", "sizing {\n  max_machines = 40 # a cap\n  idle_wait_s = 7.5\n}\n");
  const settings = await readOperatorSettings(some);
  assert.deepEqual([settings.maxMachines, settings.idleWaitMs, settings.passSpacingMs], [40, 7500, 1000]);
  const wrong = file("wrong.hcl", "sizing {\n  max_machine = 40\n}\n");
  await assert.rejects(readOperatorSettings(wrong), (err) => err instanceof SettingsError);
});

test("the link monitor is off by default, its deploy file says what the defaults are, and wrong values are named", async () => {
  const { links } = await readOperatorSettings(undefined);
  assert.equal(links.mode, "off");
  assert.deepEqual((await readOperatorSettings("deploy/half-cut.hcl")).links, { ...links, mode: "enforce" });
  const wrong: [string, RegExp][] = [
    ['mode = "on"', /links\.mode/],
    ["down_after_reports = 0", /links\.down_after_reports/],
    ["probe_share = 0.5", /links\.probe_share/],
    ["flap_bound = 1.5", /links\.flap_bound/],
    ["down_after = 3", /links/],
  ];
  for (const [line, named] of wrong)
    await assert.rejects(
      readOperatorSettings(file("links.hcl", `links {\n  ${line}\n}\n`)),
      (err: Error) => err instanceof SettingsError && named.test(err.message) && !err.message.includes("\n"),
    );
});

test("the command line checks settings and ends with exit code 2 and one line where they are wrong", () => {
  const command = (...args: string[]) => {
    const { status, stdout, stderr } = spawnSync(process.execPath, ["target/fernpond.js", ...args], {
      encoding: "utf8",
    });
    return { status, stdout, stderr };
  };
  const good = file("good.toml", settingsText());
  assert.equal(command("check-config", "--config", good).status, 0);
  const bad = file("bad.toml", settingsText().replace("rps = 100.0", "rps = -1.0"));
  for (const args of [
    ["check-config", "--config", bad],
    ["--config", bad],
    ["--config", join(folder, "none")],
    [],
  ]) {
    const { status, stderr } = command(...args);
    assert.deepEqual([status, stderr.trimEnd().split("\n").length], [2, 1], stderr);
  }
  assert.match(command("--version").stdout, /^\d+\.\d+\.\d+\n$/);
});
