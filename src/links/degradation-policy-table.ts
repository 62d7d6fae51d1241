/** The degradation policy as a table for the operators' page. */
import {
  ACTIVITIES,
  LOSSES,
  NORMAL_RULES,
  RULES_WITHOUT,
  type Loss,
  type Rule,
} from "./degradation-policy.js";

const NAMES: Record<Loss, string> = {
  state: "state service, for this controller",
  state_for_all: "state service, for all",
  workers: "workers",
  peers: "all peers",
  cloud: "cloud",
  users: "users",
};

const cell = ({ decision, proof }: Rule): string =>
  proof === "none" ? decision : `${decision} (${proof.replaceAll("_", " ")})`;

function line(cells: string[]): string {
  return `| ${cells.join(" | ")} |`;
}

/** The table as Markdown: what a single loss changes; an empty cell is as in the first row. */
export function policyTable(): string {
  const rows = [
    line(["lost", ...ACTIVITIES]),
    line(["---", ...ACTIVITIES.map(() => "---")]),
    line(["nothing", ...ACTIVITIES.map((activity) => cell(NORMAL_RULES[activity]))]),
  ];
  for (const loss of LOSSES) {
    const cells = ACTIVITIES.map((activity) => {
      const rule = RULES_WITHOUT[loss][activity];
      return rule === undefined ? "" : cell(rule);
    });
    rows.push(line([NAMES[loss], ...cells]));
  }
  return rows.join("\n");
}
