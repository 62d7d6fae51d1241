/** Runs all fault combinations with the link monitor's policy enforced on every controller. */
process.env.LINK_MONITOR = "enforce";
await import("./fault-combinations.test.js");
