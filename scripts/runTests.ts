import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { globFiles } from './globFiles.ts';
import { checkKnownRed } from './checkKnownRed.ts';

/*
 * Runs every test file. Node 20 does not find `.ts` files in a folder and passes with 0 tests, so
 * this script lists the files and fails if there are none. Arguments filter the list by substring.
 */
/** Makes a test that hangs fail under its name, instead of blocking the run. */
const TEST_TIMEOUT_MS = 180_000;
const CONCURRENT_FILES = 4;
/** Tests that load a host and measure its memory run one at a time, after all others. */
const SERIAL_FOLDER = join('test', 'crowds');
const filters = process.argv.slice(2);
const folders = ['src', 'platform', 'standins', 'test', 'scripts', 'bench', 'examples'];
const files = globFiles(folders, '.test.ts')
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)));
if (files.length === 0) {
  console.error('No test file found: check the folder names in scripts/runTests.ts');
  process.exit(1);
}

/** Runs test files and returns the exit code; failures that are known are passed over. */
function runFiles(paths: readonly string[], concurrency: number): number {
  if (paths.length === 0) {
    return 0;
  }
  const run = spawnSync(
    process.execPath,
    [
      '--import', 'tsx', '--test', '--test-reporter=tap', `--test-concurrency=${concurrency}`,
      `--test-timeout=${TEST_TIMEOUT_MS}`, ...paths,
    ],
    { encoding: 'utf8', maxBuffer: 512 * 1024 * 1024 },
  );
  process.stdout.write(run.stdout);
  process.stderr.write(run.stderr);
  return checkKnownRed(run.stdout, run.status ?? 1);
}

const isSerial = (file: string): boolean => file.startsWith(SERIAL_FOLDER);
const status = runFiles(files.filter((file) => !isSerial(file)), CONCURRENT_FILES);
const serialStatus = runFiles(files.filter(isSerial), 1);
process.exit(status === 0 ? serialStatus : status);
