import { describeFaults } from './describeFaults.ts';

describeFaults(1, 3);
