import type { ServedHost } from './cli/CliContext.ts';
import { CliError } from './cli/CliError.ts';
import { createProcessIo } from './cli/CliIo.ts';
import { EXIT_CODE } from './cli/EXIT_CODE.ts';
import { runCli } from './cli/runCli.ts';

const programs = {
  serveHost: (): Promise<ServedHost> => Promise
    .reject(new CliError(EXIT_CODE.failed, 'serve is not part of this build yet')),
};

runCli(process.argv.slice(2), { io: createProcessIo(), programs })
  .then((exitCode) => {
    process.exitCode = exitCode;
  })
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = EXIT_CODE.failed;
  });
