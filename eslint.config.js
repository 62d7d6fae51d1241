import { createNodeResolver, importX } from "eslint-plugin-import-x";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** The folders of src, from the bottom up: a folder imports only from those before it. */
const LAYERS = [
  ["wire"],
  ["runtime"],
  ["links"],
  ["config"],
  ["state", "cloud", "peers"],
  ["membership", "jobs"],
  ["workers"],
  ["placement"],
  ["shards"],
  ["autoscaling"],
  ["http"],
  ["controller"],
  ["cli"],
];

const importDirections = LAYERS.flatMap((layer, level) =>
  layer.map((folder) => {
    const above = LAYERS.slice(level + 1).flat();
    const patterns = [
      { regex: "^\\.\\./[^/]+$", message: "Nothing in a folder imports what connects the folders." },
      ...above.map((name) => ({
        group: [`../${name}/*`],
        message: `${folder} is below ${name}, see README.`,
      })),
    ];
    if (folder === "wire") patterns.push({ regex: "^\\.\\./", message: "wire imports nothing of ours." });
    return { files: [`src/${folder}/**/*.ts`], rules: { "no-restricted-imports": ["error", { patterns }] } };
  }),
);

const CONSTANT = ["camelCase", "UPPER_CASE"];

const NAMES = [
  { selector: "default", format: ["camelCase"], leadingUnderscore: "allow" },
  { selector: "typeLike", format: ["PascalCase"] },
  { selector: "variable", modifiers: ["const", "global"], format: CONSTANT },
  { selector: "classProperty", modifiers: ["static", "readonly"], format: CONSTANT },
  // Imported names are chosen by the modules that export them.
  { selector: "import", format: null },
  // Keys of settings, stored records and messages follow their formats; the keys of other objects follow their types.
  { selector: ["objectLiteralProperty", "objectLiteralMethod"], format: null },
  { selector: ["typeProperty", "typeMethod"], modifiers: ["requiresQuotes"], format: null },
  // The class exported by cli-table3, which is imported dynamically.
  { selector: "variable", filter: "^Table$", format: ["PascalCase"] },
];

/** One-letter names that are allowed in any scope: loop counters, `z` of zod, and unused parameters. */
const USUAL_SHORT_NAMES = new Set(["i", "z", "_"]);

/** A one-letter name is reported if its last use is at least this many lines after its declaration. */
const SHORT_NAME_LINES = 3;

/** Reports one-letter names that are used over many lines; `id-length` cannot distinguish by scope. */
const shortNamesInShortScopes = {
  create: (context) => ({
    "Program:exit": (program) => {
      const checkScope = (scope) => {
        for (const { name, identifiers, references } of scope.variables) {
          if (name.length > 1 || USUAL_SHORT_NAMES.has(name) || /[A-Z]/.test(name)) continue;
          const firstLine = identifiers[0]?.loc.start.line;
          const lastLine = Math.max(...references.map((reference) => reference.identifier.loc.end.line));
          if (lastLine - firstLine >= SHORT_NAME_LINES)
            context.report({ node: identifiers[0], message: `'${name}' is used over many lines: name it.` });
        }
        scope.childScopes.forEach(checkScope);
      };
      checkScope(context.sourceCode.getScope(program));
    },
  }),
};

/** Requires a doc comment above the imports, without the tag that `jsdoc/require-file-overview` requires. */
const moduleComment = {
  create: (context) => ({
    Program: (program) => {
      const [first] = program.body;
      const isDoc = (comment) => comment.type === "Block" && comment.value.startsWith("*");
      const head = context.sourceCode.getAllComments().find(isDoc);
      const isAbove = head !== undefined && (!first || head.range[1] <= first.range[0]);
      // Directly above a statement other than an import, a comment documents that statement, not the module.
      const isOfModule =
        first?.type === "ImportDeclaration" || first?.loc.start.line > head?.loc.end.line + 1;
      if (!isAbove || !isOfModule)
        context.report({ loc: { line: 1, column: 0 }, message: "Say in a comment what the module is for." });
    },
  }),
};

const LOCAL_RULES = { "short-names": shortNamesInShortScopes, "module-comment": moduleComment };

export default tseslint.config(
  ...importDirections,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: { allowDefaultProject: ["eslint.config.js"] },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { "import-x": importX, local: { rules: LOCAL_RULES } },
    settings: {
      // NodeNext imports name the emitted .js file.
      "import-x/resolver-next": [createNodeResolver({ extensionAlias: { ".js": [".ts", ".js"] } })],
      "import-x/extensions": [".ts"],
      "import-x/parsers": { "@typescript-eslint/parser": [".ts"] },
    },
    linterOptions: { reportUnusedDisableDirectives: "error" },
    rules: {
      // Type imports are ignored, since they do not exist at run time.
      "import-x/no-cycle": ["error", { ignoreExternal: true }],
      "@typescript-eslint/no-import-type-side-effects": "error",
      "@typescript-eslint/consistent-type-exports": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      // A default case covers the remaining members of a union; a switch over any other type must have one.
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { considerDefaultExhaustiveForUnions: true, requireDefaultForNonUnion: true },
      ],
      "@typescript-eslint/naming-convention": ["error", ...NAMES],
      "local/short-names": "error",
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
      eqeqeq: "error",
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      // The compiler types every indexed access as possibly undefined; the assertion is used where the index is valid.
      "@typescript-eslint/no-non-null-assertion": "off",
      // The test runner awaits the promises that `test` returns.
      "@typescript-eslint/no-floating-promises": [
        "error",
        { allowForKnownSafeCalls: [{ from: "package", name: ["test"], package: "node:test" }] },
      ],
      complexity: ["error", 20],
      "max-lines": ["error", { max: 350, skipBlankLines: true, skipComments: true }],
      "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ["src/**/*.ts"],
    plugins: { jsdoc },
    rules: {
      "local/module-comment": "error",
      // Stricter than for tests, which list many cases in one file or function.
      complexity: ["error", 13],
      "max-depth": ["error", 3],
      "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
      "max-lines-per-function": ["error", { max: 40, skipBlankLines: true, skipComments: true }],
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          enableFixer: false,
          checkConstructors: false,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: true },
          contexts: [
            "ExportNamedDeclaration > VariableDeclaration",
            "ExportNamedDeclaration > TSInterfaceDeclaration",
            "ExportNamedDeclaration > TSTypeAliasDeclaration",
          ],
        },
      ],
    },
  },
  {
    files: ["test/**/*.ts"],
    rules: {
      "@typescript-eslint/naming-convention": [
        "error",
        ...NAMES,
        // Tests may declare upper-case constants inside functions.
        { selector: "variable", modifiers: ["const"], format: CONSTANT },
      ],
    },
  },
  { files: ["eslint.config.js"], extends: [tseslint.configs.disableTypeChecked] },
);
