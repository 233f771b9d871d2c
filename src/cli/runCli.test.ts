import { deepEqual, equal, match } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCliIo } from '../../test/support/FakeCliIo.ts';
import type { CliPrograms } from './CliContext.ts';
import { EXIT_CODE } from './EXIT_CODE.ts';
import { runCli } from './runCli.ts';

const EXAMPLE = 'examples/settings/entry-host.yaml';
const KEY_ENV = { PARSLEYLIFT_OPERATOR_KEY: 'hunter2' };
const HOST_ENV = { ...KEY_ENV, PARSLEYLIFT_HOST: 'http://127.0.0.1:1' };

const programs: CliPrograms = {
  serveHost: ({ settings, operatorKey }) => Promise.resolve({
    httpUrl: `http://${settings.http.host}:${operatorKey.length}`,
    peerAddress: '127.0.0.1:0',
    stopped: Promise.resolve(),
    stop: () => undefined,
  }),
};

interface CliCase {
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly exitCode: number;
  readonly out?: RegExp;
  readonly errors?: RegExp;
}

const CASES: readonly CliCase[] = [
  { args: ['--version'], exitCode: EXIT_CODE.ok, out: /^\d+\.\d+\.\d+\n$/ },
  { args: ['--help'], exitCode: EXIT_CODE.ok, out: /Exit codes: 0 success/ },
  { args: ['check', EXAMPLE], exitCode: EXIT_CODE.ok, out: /no findings/ },
  { args: ['check', EXAMPLE, '--json'], exitCode: EXIT_CODE.ok, out: /^\{"findings":\[\]\}\n$/ },
  { args: ['check', 'none.yaml'], exitCode: EXIT_CODE.usage, errors: /none\.yaml:1:1: .*ENOENT/ },
  { args: [], exitCode: EXIT_CODE.usage, errors: /a command is required/ },
  { args: ['chekc', 'x'], exitCode: EXIT_CODE.usage, errors: /Did you mean check\?/ },
  { args: ['check', EXAMPLE, '--jsn'], exitCode: EXIT_CODE.usage, errors: /Unknown argument/ },
  {
    args: ['serve', EXAMPLE], env: KEY_ENV, exitCode: EXIT_CODE.ok, errors: /entry-a1 serves/,
  },
  { args: ['serve', EXAMPLE], exitCode: EXIT_CODE.usage, errors: /OPERATOR_KEY is not set/ },
  {
    args: ['status'], env: KEY_ENV, exitCode: EXIT_CODE.usage, errors: /PARSLEYLIFT_HOST/,
  },
  {
    args: ['status'], env: HOST_ENV, exitCode: EXIT_CODE.unavailable, errors: /does not answer/,
  },
  { args: ['drain', 'planet', 'x'], exitCode: EXIT_CODE.usage, errors: /Choices: "host"/ },
  { args: ['cost', '--by', 'day'], exitCode: EXIT_CODE.usage, errors: /Choices: "stage"/ },
];

const COMMANDS = [
  'serve', 'check', 'plan', 'confirm', 'status', 'drain', 'restore', 'cost', 'explain',
];

describe('runCli', () => {
  CASES.forEach((expected) => {
    it(`ends \`${expected.args.join(' ')}\` with exit code ${expected.exitCode}`, async () => {
      const io = new FakeCliIo(expected.env);
      equal(await runCli(expected.args, { io, programs }), expected.exitCode);
      match(io.out, expected.out ?? /^$/);
      match(io.errors, expected.errors ?? /^$/);
      deepEqual(/\n {4}at |hunter2/.exec(io.out + io.errors), null);
    });
  });

  COMMANDS.forEach((command) => {
    it(`shows an example in the help of ${command}`, async () => {
      const io = new FakeCliIo();
      equal(await runCli([command, '--help'], { io, programs }), EXIT_CODE.ok);
      match(io.out, new RegExp(`Examples:\\s+parsleylift ${command}`));
    });
  });
});
