export * from "./users.js";
export * from "./workers.js";
export * from "./cloud.js";
export * from "./state.js";
export * from "./paths.js";
export * from "./health.js";
