import { mkdirSync } from 'node:fs';
import { build } from 'esbuild';

/*
 * Bundles the program that runs on the users' platform into one file, since loading many costs
 * processor time at each start.
 */
mkdirSync('target', { recursive: true });
await build({
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outfile: 'target/platform.mjs',
  legalComments: 'none',
  minify: true,
  // Libraries written as CommonJS modules ask for Node's own modules at run time.
  banner: {
    js: [
      "import { createRequire as __createRequire } from 'node:module';",
      "import { fileURLToPath as __toPath } from 'node:url';",
      'const require = __createRequire(import.meta.url);',
      'const __filename = __toPath(import.meta.url);',
      "const __dirname = __toPath(new URL('.', import.meta.url));",
    ].join(''),
  },
  logLevel: 'warning',
});
