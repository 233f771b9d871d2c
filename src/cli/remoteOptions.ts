import type { Argv } from 'yargs';
import { readSecret } from '../settings/readSecret.ts';
import { CliError } from './CliError.ts';
import type { CliIo } from './CliIo.ts';
import { EXIT_CODE } from './EXIT_CODE.ts';
import { OperatorClient } from './OperatorClient.ts';

/** Environment variable with the address of the entry host. */
export const HOST_VARIABLE = 'PARSLEYLIFT_HOST';

/** Environment variable with the operator key. */
export const OPERATOR_KEY_VARIABLE = 'PARSLEYLIFT_OPERATOR_KEY';

/** Arguments of every command that calls a host. */
export interface RemoteArguments {
  readonly host: string | undefined;
  readonly keyFile: string | undefined;
  readonly json: boolean;
}

/**
 * Declares the options of a command that calls a host.
 *
 * @param parser - the command's parser
 * @returns the parser with the options
 */
export function addRemoteOptions<T>(parser: Argv<T>): Argv<T & RemoteArguments> {
  return parser
    .option('host', {
      type: 'string',
      describe: `address of an entry host; default: ${HOST_VARIABLE}`,
    })
    .option('key-file', {
      type: 'string',
      describe: `file with the operator key; default: ${OPERATOR_KEY_VARIABLE}`,
    })
    .option('json', {
      type: 'boolean', default: false, describe: 'print JSON for scripts',
    }) as unknown as Argv<T & RemoteArguments>;
}

/** Arguments of every command that confirms a plan. */
export interface WaitArguments {
  readonly wait: boolean;
}

/**
 * Declares the option of a command that confirms a plan.
 *
 * @param parser - the command's parser
 * @returns the parser with the option
 */
export function addWaitOption<T>(parser: Argv<T>): Argv<T & WaitArguments> {
  return parser.option('wait', {
    type: 'boolean', default: false, describe: 'wait up to 20 s until in force on all live hosts',
  });
}

/**
 * Creates the client for a command.
 *
 * @param args - the parsed options
 * @param io - provides the environment
 * @returns the client
 * @throws CliError when no host address is given; SecretError when no key can be read
 */
export function createOperatorClient(args: RemoteArguments, io: CliIo): OperatorClient {
  const hostUrl = args.host ?? io.env[HOST_VARIABLE];
  if (hostUrl === undefined || !/^https?:\/\//.test(hostUrl)) {
    throw new CliError(
      EXIT_CODE.usage,
      `entry host missing: pass --host http://127.0.0.1:8080 or set ${HOST_VARIABLE}`,
    );
  }
  const operatorKey = readSecret({
    purpose: 'operator key',
    source: args.keyFile === undefined ? { env: OPERATOR_KEY_VARIABLE } : { file: args.keyFile },
    env: io.env,
  });
  return new OperatorClient(hostUrl, operatorKey);
}
