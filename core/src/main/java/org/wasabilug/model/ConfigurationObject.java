package org.wasabilug.model;

/** Complete state of an object that operators configure through tickets. */
public sealed interface ConfigurationObject
        permits FailureDomain, Pool, Endpoint, Pipeline, Workspace, OperatorAccount, EngineTarget {
    /** Returns the identity of this object. */
    ObjectKey objectKey();
}
