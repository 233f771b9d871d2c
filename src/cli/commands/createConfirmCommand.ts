import type { CommandModule } from 'yargs';
import type { CliContext } from '../CliContext.ts';
import { confirmPlan } from '../confirmPlan.ts';
import {
  addRemoteOptions, addWaitOption, createOperatorClient, type RemoteArguments, type WaitArguments,
} from '../remoteOptions.ts';

interface ConfirmArguments extends RemoteArguments, WaitArguments {
  readonly planId: string;
}

/**
 * @param context - of the command line
 * @returns the command `confirm`
 */
export function createConfirmCommand({ io }: CliContext): CommandModule<object, ConfirmArguments> {
  return {
    command: 'confirm <planId>',
    describe: 'put a plan in force; repeating it gives the same answer',
    builder: (parser) => addRemoteOptions(addWaitOption(parser).positional('planId', {
      type: 'string', demandOption: true, describe: 'as printed by plan',
    })).example('$0 confirm 4f1c...', 'prints the version and where it is in force'),
    handler: async (args) => {
      await confirmPlan(args.planId, {
        client: createOperatorClient(args, io), io, isJson: args.json, waitsUntilInForce: args.wait,
      });
    },
  };
}
