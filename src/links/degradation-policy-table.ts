/** Prints the degradation policy as a table for the operators' documentation. */
import {
  ACTIVITIES,
  LOSSES,
  NORMAL_RULES,
  RULES_BY_LOSS,
  type Loss,
  type Rule,
} from "./degradation-policy.js";

const LOSS_LABELS: Record<Loss, string> = {
  state: "state service, for this controller",
  state_for_all: "state service, for all",
  workers: "workers",
  peers: "all peers",
  cloud: "cloud",
  users: "users",
};

const formatRule = ({ decision, proof }: Rule): string =>
  proof === "none" ? decision : `${decision} (${proof.replaceAll("_", " ")})`;

function formatRow(cells: string[]): string {
  return `| ${cells.join(" | ")} |`;
}

/** Returns the policy for each single loss as a Markdown table. An empty cell means the same as in the first row. */
export function policyTable(): string {
  const rows = [
    formatRow(["lost", ...ACTIVITIES]),
    formatRow(["---", ...ACTIVITIES.map(() => "---")]),
    formatRow(["nothing", ...ACTIVITIES.map((activity) => formatRule(NORMAL_RULES[activity]))]),
  ];
  for (const loss of LOSSES) {
    const cells = ACTIVITIES.map((activity) => {
      const rule = RULES_BY_LOSS[loss][activity];
      return rule === undefined ? "" : formatRule(rule);
    });
    rows.push(formatRow([LOSS_LABELS[loss], ...cells]));
  }
  return rows.join("\n");
}
