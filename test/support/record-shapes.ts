/** Derives the shapes of stored records: for each kind of key, the fields of the values and their types. */

/** The types of the fields of stored values, by kind of key and field path. */
export type RecordShapes = Record<string, Record<string, string>>;

/** Placeholders for the names and numbers in keys and field names that differ from record to record. */
const PLACEHOLDERS: [RegExp, string][] = [
  [/req-\d+/, "<job>"],
  [/i-\d{6}$/, "<host>"],
  [/fp-[\d-]+$/, "<order>"],
  [/members\/.+$/, "members/<node>"],
  [/live\/machines\/.+$/, "live/machines/<group>"],
  [/types\/.+$/, "types/<type>"],
  [/\/\d+/g, "/<number>"],
];

const replaceVariableParts = (name: string): string =>
  PLACEHOLDERS.reduce((text, [pattern, placeholder]) => text.replace(pattern, placeholder), name);

function typeOf(value: unknown): string {
  if (value === null) return "null";
  return Array.isArray(value) ? "array" : typeof value;
}

/** Collects the fields of all values stored under one kind of key. */
class ValueShape {
  private readonly types = new Map<string, Set<string>>();
  /** How often each field, and each object that contains fields, has occurred. */
  private readonly counts = new Map<string, number>();

  add(value: unknown, fieldPath = ""): void {
    const type = typeOf(value);
    this.counts.set(fieldPath, (this.counts.get(fieldPath) ?? 0) + 1);
    this.types.set(fieldPath, (this.types.get(fieldPath) ?? new Set()).add(type));
    if (Array.isArray(value)) for (const element of value) this.add(element, `${fieldPath}[]`);
    else if (type === "object")
      for (const [name, field] of Object.entries(value as object))
        this.add(
          field,
          fieldPath === "" ? replaceVariableParts(name) : `${fieldPath}.${replaceVariableParts(name)}`,
        );
  }

  get fields(): Record<string, string> {
    const paths = [...this.types.keys()].filter((path) => path !== "").sort();
    return Object.fromEntries(paths.map((path) => [path, this.describe(path)]));
  }

  private describe(path: string): string {
    const types = [...this.types.get(path)!].sort().join(" | ");
    const parent = path.includes(".") ? path.slice(0, path.lastIndexOf(".")) : "";
    const isNamedField = !path.endsWith(">") && !path.endsWith("[]");
    const isOptional = isNamedField && this.counts.get(path)! < this.counts.get(parent)!;
    return isOptional ? `${types}, optional` : types;
  }
}

/** Collects the shapes of written records. */
export class RecordShapeCollector {
  private readonly shapes = new Map<string, ValueShape>();

  add(key: string, value: unknown): void {
    const kind = replaceVariableParts(key);
    const shape = this.shapes.get(kind) ?? new ValueShape();
    this.shapes.set(kind, shape);
    shape.add(value);
  }

  get recordShapes(): RecordShapes {
    return Object.fromEntries(
      [...this.shapes.keys()].sort().map((kind) => [kind, this.shapes.get(kind)!.fields]),
    );
  }
}
