import { describeFaults } from './describeFaults.ts';

describeFaults(0, 3);
