/**
 * Options and report of a soak run.
 */

/**
 * An invariant that the system promises to keep. The soak checks it from what callers and upstreams
 * observe.
 */
export type InvariantName =
  /** A request that is not repeatable runs at most once. */
  | 'atMostOnce'
  /** A request that is not repeatable and was refused never runs. */
  | 'trueRefusal'
  /** A successful response is complete and belongs to its request. */
  | 'wholeAnswer'
  /** A client account never spends more than its prepaid tokens. */
  | 'prepaid'
  /** Retries to a service stay within the retry budget. */
  | 'retryBudget'
  /** A changed configuration takes effect within the time limit. */
  | 'configuration'
  /** An upstream that is draining soon receives no new requests. */
  | 'leavingUpstream'
  /** All instances combined respect the rate limit of an upstream. */
  | 'upstreamLimit'
  /** An instance soon stops sending requests to an upstream that stated in a response that it is leaving. */
  | 'statedLeaving'
  /** An instance sends no requests to an upstream during a backoff that the upstream requested. */
  | 'statedBackoff'
  /** One request ends at most three upstreams, whoever repeats it, and the requests beside it are served. */
  | 'queryOfDeath'
  /** A part of prompts that ends upstreams ends eight at most, is soon sent nowhere, and sound requests are served. */
  | 'deadlyPart'
  /** An instance that reaches no upstream serves nearly what the others do; if none does, all refuse at once. */
  | 'unreachedUpstreams'
  /** Upstreams that fall over when they refuse too much rarely do, and are used. */
  | 'brittleUpstream'
  /** No request at a sound upstream, paused ones included, is ended by an instance before its deadline. */
  | 'soundAnswer'
  /** No request reaches an upstream long after its caller has left. */
  | 'departedCaller'
  /** No stream has events of two software versions, over all tries of its caller, and nearly all taken up go on. */
  | 'softwareVersion'
  /** A graceful shutdown cuts off no request. */
  | 'plannedStop'
  /** Directories stop listing an instance that lost power. */
  | 'goneInstance'
  /** Directories list every other instance that is ready. */
  | 'liveInstance'
  /** No process ends by itself, or uses more memory or descriptors than its machine has. */
  | 'machineLimits'
  /** Most requests are served while no fault is active. */
  | 'served';

/** One observed violation of an invariant. */
export interface Violation {
  /** The violated invariant. */
  readonly promise: InvariantName;
  /** Time of detection, in milliseconds from the start of the run. */
  readonly atMs: number;
  /** Description with the observed values. */
  readonly what: string;
}

/**
 * A defect that the soak simulates without informing its checks. Used only to test that each check
 * detects a violation.
 */
export type InjectedDefect =
  /** Sends some requests a second time with the same id. */
  | 'runTwice'
  /** Reports some requests as refused after they ran. */
  | 'refuseAfterRun'
  /** Truncates some response bodies. */
  | 'cutAnswer'
  /** Configures 100 times the prepaid tokens that the check assumes. */
  | 'raiseLimit'
  /** Sends some repeatable requests many more times. */
  | 'repeatArrivals'
  /** Reports configuration changes as acknowledged without writing them. */
  | 'holdConfiguration'
  /** Does not mark a leaving upstream as draining in the store. */
  | 'holdLeaving'
  /** Omits the rate limit from the responses of the upstream. */
  | 'hideLimit'
  /** Omits from the responses of a leaving upstream that it leaves, and its draining from the store. */
  | 'hideLeaving'
  /** Omits the backoff from the refusals of an overloaded upstream. */
  | 'hideBackoff'
  /** Sends each attempt of a deadly request for something else. */
  | 'varyDeadly'
  /** Names the part of prompts that ends upstreams in another way in each request. */
  | 'varyPart'
  /** Omits from the responses of brittle upstreams that they are. */
  | 'hideBrittle'
  /** States the same version in the records of all upstreams. */
  | 'hideVersion'
  /** Resets the connections of paused upstreams, as if the instances had given them up. */
  | 'cutPaused'
  /** Sends some requests long after their callers have left. */
  | 'sendLate'
  /** Kills the process instead of stopping it gracefully. */
  | 'killForStop'
  /** Lists all instances in every directory response. */
  | 'nameGone'
  /** Lists only the queried instance in its directory response. */
  | 'hideLive'
  /** Ends a process as if its memory had run out. */
  | 'abortProcess'
  /** Reports every request as refused without sending it. */
  | 'refuseAll';

/** Kind of an injected fault. */
export type FaultKind =
  /** Kills an instance (SIGKILL). */
  | 'kill'
  /** Suspends an instance (SIGSTOP), then resumes it (SIGCONT). */
  | 'pause'
  /** Suspends an instance, then kills it, as after a loss of power. */
  | 'powerOff'
  /** Stops an instance gracefully (SIGTERM). */
  | 'stop'
  /** Makes an instance reload (SIGHUP). */
  | 'reload'
  /** The store answers every request with 503. */
  | 'storeAway'
  /** The store delays every response. */
  | 'storeSlow'
  /** The store executes some writes without sending the response. */
  | 'storeLosesAnswers'
  /** Connections of one instance to the store are refused. */
  | 'storeTurnsAway'
  /** The store rejects watches with 410, as if their history were gone. */
  | 'storeForgets'
  /**
   * The store answers every request with 503, then returns from a copy that is up to 20 s old; the
   * operator and the upstreams write again what is theirs.
   */
  | 'storeRestored'
  /** Resets the open connections to an upstream. */
  | 'resetUpstream'
  /** Open connections to an upstream stop transferring data but stay open. */
  | 'silenceUpstream'
  /** Delays data to and from an upstream. */
  | 'delayUpstream'
  /** Drops data from an upstream to the instances. */
  | 'cutUpstreamOneWay'
  /** Drains and removes an upstream after adding a replacement. */
  | 'leaveUpstream'
  /** Sets the rate limit of an upstream. */
  | 'limitUpstream'
  /** An upstream refuses every request and asks for a backoff. */
  | 'overloadUpstream'
  /** A caller sends a request that ends each upstream which runs it, and repeats it at any instance. */
  | 'deadlyRequest'
  /** Callers send requests, no two alike, that share a part of their prompts which ends each upstream. */
  | 'deadlyPart'
  /** Some or all instances reach no upstream: their connections hang, are reset, or only new ones hang. */
  | 'cutFromUpstreams'
  /** The upstreams of a service have little room, and fall over if they refuse too much. */
  | 'brittleService'
  /** Two versions of an engine serve side by side, and callers leave streams and take them up elsewhere. */
  | 'mixVersions'
  /** An upstream ends by itself and starts again. */
  | 'crashUpstream'
  /** Pauses some or all upstreams of a service: they stay connected, send and read nothing, then go on. */
  | 'pauseUpstreams'
  /** Clients that keep no limit send what they like to one port of an instance, read nothing and stay for a while. */
  | 'floodInstance'
  /** Writes a new configuration version. */
  | 'changeConfiguration';

/** A fault scheduled for a run. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start time, in milliseconds from the start of the load. */
  readonly atMs: number;
  /** How long the fault lasts, in milliseconds; ignored for kinds that take effect at once. */
  readonly durationMs: number;
  /** Index of the affected instance or upstream, taken modulo their number. */
  readonly target: number;
}

/** Options of `runSoak`. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of load and faults, in milliseconds. */
  readonly durationMs: number;
  readonly instances: number;
  /** Mean rate at which all callers together start requests. */
  readonly requestsPerSecond: number;
  /** Directory for the settings files and logs of the processes. */
  readonly directory: string;
  /** Whether the store also returns from older copies. */
  readonly hasRestores?: boolean;
  /** Replaces the faults that are generated from the seed. */
  readonly faults?: readonly PlannedFault[];
  readonly injectedDefect?: InjectedDefect;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly durationMs: number;
  /** Number of requests that ended. */
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  readonly failed: number;
  /** Number of callers that left without their answers. */
  readonly left: number;
  /** Number of streams that callers left and took up elsewhere, and of those that went on. */
  readonly takenUp: number;
  readonly wentOn: number;
  /** Number of injected faults by kind. */
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}
