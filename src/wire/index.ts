/**
 * The protocol's messages, paths and limits. The protocol's own names of fields occur only in this folder, which maps
 * them to the names of the glossary. Clients import it as `fernpond/wire`; it imports nothing else of this project.
 */

export * from "./parsing.js";
export * from "./users.js";
export * from "./workers.js";
export * from "./cloud.js";
export * from "./state.js";
export * from "./paths.js";
export * from "./health.js";
