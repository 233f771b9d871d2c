import { spawnSync } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync } from 'node:fs';
import { build, type BuildOptions } from 'esbuild';

/*
 * Bundles the program that runs on the users' platform into one file, since loading many files
 * costs processor time at each start, and writes its code cache.
 */
const CACHE_FILE = 'target/platform.cache';
/** Settings of a host that uses free loopback ports and no store. */
const WARM_UP_SETTINGS = 'deploy/warm-up-settings.json';
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

runBundle('--write-cache');
if (runBundle('--check-cache') !== 0) {
  throw new Error('target/platform.cache is rejected; hosts would compile at each start');
}
