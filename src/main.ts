import type { CliPrograms } from './cli/CliContext.ts';
import { createProcessIo } from './cli/CliIo.ts';
import { EXIT_CODE } from './cli/EXIT_CODE.ts';
import { runCli } from './cli/runCli.ts';
import { EntryHost } from './serve/EntryHost.ts';

const programs: CliPrograms = { serveHost: (options) => EntryHost.create(options) };

runCli(process.argv.slice(2), { io: createProcessIo(), programs })
  .then((exitCode) => {
    process.exitCode = exitCode;
  })
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = EXIT_CODE.failed;
  });
