import { PrepaidPeers, type LoanAnswer } from '../PrepaidPeers/index.js';

/** An instance alone: every account's stock is gathered here. */
export class NoPrepaidPeers extends PrepaidPeers {
  override homeOf(): undefined {
    return undefined;
  }

  override backupOf(): undefined {
    return undefined;
  }

  override ask(): Promise<LoanAnswer | undefined> {
    return Promise.resolve(undefined);
  }

  override serve(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }
}
