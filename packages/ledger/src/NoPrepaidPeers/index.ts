import { PrepaidPeers, type LoanResponse } from '../PrepaidPeers/index.js';

/** For an instance without peers, which is the home of every account. */
export class NoPrepaidPeers extends PrepaidPeers {
  override homeOf(): undefined {
    return undefined;
  }

  override backupOf(): undefined {
    return undefined;
  }

  override ask(): Promise<LoanResponse | undefined> {
    return Promise.resolve(undefined);
  }

  override serve(): Disposable {
    return { [Symbol.dispose]: () => undefined };
  }
}
