/**
 * The side that faces callers: request handlers, dispatch to upstreams and the HTTP server.
 */
export type * from './types.js';
export * from './AnswerCache/index.js';
export * from './SharedAnswer/index.js';
export * from './EngineDispatch/index.js';
export * from './ChatHandler/index.js';
export * from './ServiceDispatch/index.js';
export * from './ServiceHandler/index.js';
export * from './parseChatCall/index.js';
export * from './createCallerServer/index.js';
export * from './readBody/index.js';
export * from './BodyMemory/index.js';
export * from './BufferPressure/index.js';
export * from './CallerWriter/index.js';
export * from './ConnectionBacklog/index.js';
export * from './WholeResponseWriter/index.js';
export * from './contentLengthOf/index.js';
export * from './guardRequests/index.js';
export * from './parseTarget/index.js';
export * from './writeError/index.js';
export * from './endToEndHeaders/index.js';
export * from './RequestQuarantine/index.js';
