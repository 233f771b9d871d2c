import { describeFaults } from './describeFaults.ts';

describeFaults(2, 3);
