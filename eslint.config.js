import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** The folders of src, from the bottom up: a folder imports nothing from those behind it. */
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
    linterOptions: { reportUnusedDisableDirectives: "error" },
    rules: {
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
      eqeqeq: "error",
      "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
      // Every access by index may be undefined to the compiler; where a bound is known, the assertion says so.
      "@typescript-eslint/no-non-null-assertion": "off",
      // The test runner waits for its tests by itself.
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
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          enableFixer: false,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
          contexts: [
            "ExportNamedDeclaration > TSInterfaceDeclaration",
            "ExportNamedDeclaration > TSTypeAliasDeclaration",
          ],
        },
      ],
    },
  },
  { files: ["eslint.config.js"], extends: [tseslint.configs.disableTypeChecked] },
);
