/** The shapes of stored records: fields and types of values by their kinds of keys, however many records there are. */

/** For each kind of key, the fields of its values and their types. */
export type RecordShapes = Record<string, Record<string, string>>;

/** What stands for names and numbers that differ from record to record, in keys and in fields. */
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

/** The fields of all values under one kind of key. */
class ValueShape {
  private readonly types = new Map<string, Set<string>>();
  /** How often each field, and each object that fields are in, has come. */
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

/** Collects the shapes of records as they are written. */
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
