import type { CommandModule } from 'yargs';
import { DRAIN_TARGET_KIND } from '../../configuration/records/DrainRecord.ts';
import type { CliContext } from '../CliContext.ts';
import { proposeAndConfirm } from '../confirmPlan.ts';
import {
  addRemoteOptions, addWaitOption, createOperatorClient, type RemoteArguments, type WaitArguments,
} from '../remoteOptions.ts';

/** The words of the command line for what can be taken out of service. */
const TARGET_KINDS = {
  host: DRAIN_TARGET_KIND.host,
  upstream: DRAIN_TARGET_KIND.upstream,
  'failure-domain': DRAIN_TARGET_KIND.failureDomain,
} as const;

const TARGET_NAMES = Object.keys(TARGET_KINDS) as (keyof typeof TARGET_KINDS)[];

interface DrainArguments extends RemoteArguments, WaitArguments {
  readonly kind: keyof typeof TARGET_KINDS;
  readonly id: string;
  readonly yes: boolean;
}

/** What differs between taking out of service and bringing back. */
interface DrainCommandText {
  readonly verb: 'drain' | 'restore';
  readonly describe: string;
}

const COMMAND_TEXTS: Readonly<Record<DrainCommandText['verb'], DrainCommandText>> = {
  drain: {
    verb: 'drain',
    describe: 'take a host, an upstream or a failure domain out of service',
  },
  restore: {
    verb: 'restore',
    describe: 'bring a host, an upstream or a failure domain back into service',
  },
};

/**
 * Makes the command `drain` or `restore`: an intent that is planned and confirmed like any other.
 *
 * @param context - of the command line
 * @param verb - which of the two
 * @returns the command
 */
export function createDrainCommand(
  { io }: CliContext,
  verb: DrainCommandText['verb'],
): CommandModule<object, DrainArguments> {
  return {
    command: `${verb} <kind> <id>`,
    describe: COMMAND_TEXTS[verb].describe,
    builder: (parser) => addRemoteOptions(addWaitOption(parser)
      .positional('kind', {
        choices: TARGET_NAMES, demandOption: true, describe: 'what it is',
      })
      .positional('id', { type: 'string', demandOption: true, describe: 'its id' })
      .option('yes', {
        type: 'boolean', default: false, describe: 'confirm the plan without asking',
      }))
      .example(`$0 ${verb} failure-domain domain-b --yes`, 'plans and confirms'),
    handler: async (args) => {
      await proposeAndConfirm({
        client: createOperatorClient(args, io),
        intent: {
          reason: `${verb} ${args.kind} ${args.id}`,
          [verb]: [{ kind: TARGET_KINDS[args.kind], id: args.id }],
        },
        io,
        isJson: args.json,
        confirmsWithoutAsking: args.yes,
        waitsUntilInForce: args.wait,
      });
    },
  };
}
