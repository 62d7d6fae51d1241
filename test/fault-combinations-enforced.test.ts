/** All combinations of faults once more, with the link monitor's policy enforced on every controller. */
process.env.LINK_MONITOR = "enforce";
await import("./fault-combinations.test.js");
