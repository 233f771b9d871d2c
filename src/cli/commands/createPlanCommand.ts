import type { CommandModule } from 'yargs';
import { loadIntent } from '../../intents/loadIntent.ts';
import type { PlanSummary } from '../../operators/PlanSummary.ts';
import type { CliContext } from '../CliContext.ts';
import { CliError } from '../CliError.ts';
import { EXIT_CODE } from '../EXIT_CODE.ts';
import { formatPlan } from '../formatPlan.ts';
import { addRemoteOptions, createOperatorClient, type RemoteArguments } from '../remoteOptions.ts';

interface PlanArguments extends RemoteArguments {
  readonly intent: string;
}

/**
 * Creates the command `plan`.
 *
 * @param context - context of the command line
 * @returns the command
 */
export function createPlanCommand({ io }: CliContext): CommandModule<object, PlanArguments> {
  return {
    command: 'plan <intent>',
    describe: 'show what an intent would change, without changing it',
    builder: (parser) => addRemoteOptions(parser.positional('intent', {
      type: 'string', demandOption: true, describe: 'YAML file with the intent',
    })).example('$0 plan intent.yaml', 'prints the plan and the command to confirm it'),
    handler: async (args) => {
      const intent = loadIntent(args.intent);
      const client = createOperatorClient(args, io);
      const plan = await client.callOk<PlanSummary>('POST', '/operator/v1/plans', intent);
      io.writeOut(args.json ? `${JSON.stringify(plan)}\n` : formatPlan(plan));
      if (plan.conflicts.length > 0) {
        throw new CliError(EXIT_CODE.conflict, 'the plan has conflicts and can\'t be confirmed');
      }
      if (!args.json) {
        io.writeOut(`to confirm: parsleylift confirm ${plan.planId}\n`);
      }
    },
  };
}
