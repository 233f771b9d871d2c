import { spawnSync } from 'node:child_process';
import {
  mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { build, type BuildOptions } from 'esbuild';

/*
 * Bundles the program that runs on the users' platform into one file, since loading many files
 * costs processor time at each start, and writes its code cache.
 */
const CACHE_FILE = 'target/platform.cache';
/** Settings of a host without a store; `{{ip}}` stands for its loopback address. */
const WARM_UP_TEMPLATE = 'deploy/warm-up-settings.json';
const WARM_UP_SETTINGS = 'target/warm-up-settings.json';
/** Builds that run at the same time use different loopback networks, 127.192 to 127.254. */
const FIRST_NETWORK = 192;
const NETWORK_COUNT = 63;
const COMMON: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  minify: true,
  logLevel: 'warning',
};

/** Reads the Node flags that hosts run with; Node rejects code compiled with other flags. */
function readDeployedFlags(): string[] {
  const run = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? '';
  return run.split(' ').filter((word) => word.startsWith('--'));
}

mkdirSync('target', { recursive: true });
rmSync(CACHE_FILE, { force: true });
await build({
  ...COMMON, entryPoints: ['platform/main.ts'], outfile: 'target/platform.bundle.cjs',
});
await build({
  ...COMMON, entryPoints: ['platform/startCompiled.ts'], outfile: 'target/platform.cjs',
});

/** Runs the bundle with the flags of a host. */
function runBundle(option: string): number | null {
  return spawnSync(process.execPath, [...readDeployedFlags(), 'target/platform.cjs', option], {
    env: { PARSLEYLIFT_BOOT: WARM_UP_SETTINGS }, stdio: 'ignore',
  }).status;
}

const ip = `127.${FIRST_NETWORK + (process.pid % NETWORK_COUNT)}.0.1`;
writeFileSync(WARM_UP_SETTINGS, readFileSync(WARM_UP_TEMPLATE, 'utf8').replaceAll('{{ip}}', ip));
// A host that fails to start has compiled little, and its cache is accepted all the same.
if (runBundle('--write-cache') !== 0) {
  throw new Error(`the host of ${WARM_UP_SETTINGS} does not start; see its error with node target/`
    + 'platform.cjs and PARSLEYLIFT_BOOT set to that file');
}
if (runBundle('--check-cache') !== 0) {
  throw new Error('target/platform.cache is rejected; hosts would compile at each start');
}
