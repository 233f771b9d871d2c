import type { CommandModule } from 'yargs';
import { DRAIN_TARGET_KIND } from '../../configuration/records/DrainRecord.ts';
import type { CliContext } from '../CliContext.ts';
import { proposeAndConfirm } from '../confirmPlan.ts';
import {
  addRemoteOptions, addWaitOption, createOperatorClient, type RemoteArguments, type WaitArguments,
} from '../remoteOptions.ts';

/** Drain target kinds by their names on the command line. */
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

/** Texts that differ between `drain` and `restore`. */
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
 * Creates the command `drain` or `restore`, whose intent is planned and confirmed as any other.
 *
 * @param context - context of the command line
 * @param verb - name of the command
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
        choices: TARGET_NAMES, demandOption: true, describe: 'kind of the target',
      })
      .positional('id', { type: 'string', demandOption: true, describe: 'id of the target' })
      .option('yes', {
        type: 'boolean', default: false, describe: 'confirm the plan without prompting',
      }))
      .example(`$0 ${verb} failure-domain domain-b --yes`, 'plans and confirms without prompting'),
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
