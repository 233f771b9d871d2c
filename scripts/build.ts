import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';

/*
 * Builds dist/parsleylift, a single executable application: the sources as one CommonJS bundle in
 * a copy of the running Node executable.
 */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BUNDLE = 'dist/parsleylift.cjs';
const BLOB = 'dist/parsleylift.blob';
const BINARY = 'dist/parsleylift';

mkdirSync('dist', { recursive: true });
await build({
  entryPoints: ['src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: BUNDLE,
  legalComments: 'none',
  // yargs reads import.meta.url, which a CommonJS bundle does not have.
  define: { 'import.meta.url': '__importMetaUrl' },
  banner: {
    js: "const __importMetaUrl=require('node:url').pathToFileURL(process.execPath).href;",
  },
  external: ['cbor-extract'],
  logLevel: 'warning',
});
writeFileSync('dist/sea.json', JSON.stringify({
  main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true,
}));
const seaOptions = ['--experimental-sea-config', 'dist/sea.json'];
execFileSync(process.execPath, seaOptions, { stdio: 'inherit' });
copyFileSync(process.execPath, BINARY);
execFileSync('node_modules/.bin/postject', [
  BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL_FUSE,
], { stdio: ['ignore', 'ignore', 'inherit'] });
console.log(`built ${BINARY}`);
