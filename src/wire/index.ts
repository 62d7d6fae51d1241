/**
 * The protocol's messages, paths and limits. Only this directory uses the protocol's field names; it maps them to the
 * names of the glossary. Clients import it as `fernpond/wire`, so it must not depend on the rest of the project.
 */

export * from "./parsing.js";
export * from "./users.js";
export * from "./workers.js";
export * from "./cloud.js";
export * from "./state.js";
export * from "./paths.js";
export * from "./health.js";
