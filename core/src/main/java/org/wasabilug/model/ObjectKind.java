package org.wasabilug.model;

/** Kinds of configuration objects. */
public enum ObjectKind {
    /** A {@link FailureDomain}. */
    FAILURE_DOMAIN,
    /** A {@link Pool}. */
    POOL,
    /** An {@link Endpoint}. */
    ENDPOINT,
    /** A {@link Pipeline}. */
    PIPELINE,
    /** A {@link Workspace}. */
    WORKSPACE,
    /** An {@link OperatorAccount}. */
    OPERATOR,
    /** An {@link EngineTarget}. */
    ENGINE_TARGET
}
