package org.wasabilug.entry.internal.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.messages.ConfigurationDigest;
import org.wasabilug.messages.ConfigurationObject;
import org.wasabilug.messages.ConfigurationObjects;
import org.wasabilug.messages.ConfigurationRequest;
import org.wasabilug.messages.CrashRecord;
import org.wasabilug.messages.ObjectVersion;
import org.wasabilug.messages.PeerEnvelope;
import org.wasabilug.messages.PeerHeartbeat;
import org.wasabilug.messages.QuarantineEvidence;
import org.wasabilug.messages.WorkspaceUsageRecord;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.CrashEvidence;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.VersionedObject;
import org.wasabilug.port.WorkspaceUsage;

/** Maps the core's peer messages to protobuf and back. */
final class PeerMessageCodec {
    private static final long NEVER_NEWEST = -1;

    private PeerMessageCodec() {}

    static PeerEnvelope encode(InstanceName sender, long incarnation, PeerMessage message) {
        PeerEnvelope.Builder envelope =
                PeerEnvelope.newBuilder()
                        .setSender(sender.value())
                        .setSenderIncarnation(incarnation);
        switch (message) {
            case PeerMessage.Heartbeat heartbeat -> envelope.setHeartbeat(heartbeat(heartbeat));
            case PeerMessage.Digest digest -> envelope.setConfigurationDigest(digest(digest));
            case PeerMessage.ObjectsRequest wanted ->
                    envelope.setConfigurationRequest(request(wanted));
            case PeerMessage.Objects objects -> envelope.setConfigurationObjects(objects(objects));
            case PeerMessage.Crashes crashes -> envelope.setQuarantineEvidence(crashes(crashes));
            case PeerMessage.Usage usage -> envelope.setWorkspaceUsage(usage(usage));
        }
        return envelope.build();
    }

    private static PeerHeartbeat heartbeat(PeerMessage.Heartbeat heartbeat) {
        PeerHeartbeat.Builder builder =
                PeerHeartbeat.newBuilder()
                        .setFailureDomain(heartbeat.failureDomain().value())
                        .setFeedSequence(heartbeat.feedSequence())
                        .setConfigurationHash(heartbeat.configurationHash())
                        .setStopping(heartbeat.stopping());
        if (heartbeat.configurationAgeMilliseconds() >= 0) {
            builder.setConfigurationAgeMilliseconds(heartbeat.configurationAgeMilliseconds());
        }
        return builder.build();
    }

    private static ConfigurationDigest digest(PeerMessage.Digest digest) {
        ConfigurationDigest.Builder builder =
                ConfigurationDigest.newBuilder()
                        .setBucket(digest.bucket())
                        .setBucketCount(digest.bucketCount());
        digest.ticketNumbers()
                .forEach(
                        (key, number) ->
                                builder.addVersions(
                                        ObjectVersion.newBuilder()
                                                .setObjectKey(key.toString())
                                                .setTicketNumber(number)));
        return builder.build();
    }

    private static ConfigurationRequest request(PeerMessage.ObjectsRequest wanted) {
        ConfigurationRequest.Builder builder = ConfigurationRequest.newBuilder();
        wanted.keys().forEach(key -> builder.addObjectKeys(key.toString()));
        return builder.build();
    }

    private static ConfigurationObjects objects(PeerMessage.Objects objects) {
        ConfigurationObjects.Builder builder = ConfigurationObjects.newBuilder();
        objects.objects().forEach(object -> builder.addObjects(object(object)));
        return builder.build();
    }

    private static ConfigurationObject object(VersionedObject object) {
        ConfigurationObject.Builder builder =
                ConfigurationObject.newBuilder()
                        .setObjectKey(object.key().toString())
                        .setTicketNumber(object.ticketNumber())
                        .setDeleted(object.state().isEmpty());
        object.state()
                .map(TicketCodec::writeState)
                .map(ByteString::copyFromUtf8)
                .ifPresent(builder::setStateJson);
        return builder.build();
    }

    private static QuarantineEvidence crashes(PeerMessage.Crashes crashes) {
        QuarantineEvidence.Builder builder = QuarantineEvidence.newBuilder();
        for (CrashEvidence crash : crashes.crashes()) {
            builder.addCrashes(
                    CrashRecord.newBuilder()
                            .setFingerprint(crash.fingerprint())
                            .setEndpoint(crash.endpoint().value())
                            .setEndpointGeneration(crash.generation())
                            .setAlone(crash.alone())
                            .setAgeMilliseconds(crash.ageMilliseconds()));
        }
        return builder.build();
    }

    private static org.wasabilug.messages.WorkspaceUsage usage(PeerMessage.Usage usage) {
        org.wasabilug.messages.WorkspaceUsage.Builder builder =
                org.wasabilug.messages.WorkspaceUsage.newBuilder();
        usage.usage()
                .forEach(
                        (workspace, use) ->
                                builder.addRecords(
                                        WorkspaceUsageRecord.newBuilder()
                                                .setWorkspace(workspace.value())
                                                .setInFlight(use.inFlight())
                                                .setRequestsPerSecond(use.requestsPerSecond())));
        return builder.build();
    }

    /** Reads an envelope; empty where it holds no message that this version knows. */
    static Optional<PeerMessage> decode(PeerEnvelope envelope) {
        return switch (envelope.getBodyCase()) {
            case HEARTBEAT ->
                    Optional.of(
                            heartbeat(envelope.getSenderIncarnation(), envelope.getHeartbeat()));
            case CONFIGURATION_DIGEST -> Optional.of(digest(envelope.getConfigurationDigest()));
            case CONFIGURATION_REQUEST ->
                    Optional.of(wanted(envelope.getConfigurationRequest().getObjectKeysList()));
            case CONFIGURATION_OBJECTS -> Optional.of(objects(envelope.getConfigurationObjects()));
            case QUARANTINE_EVIDENCE -> Optional.of(crashes(envelope.getQuarantineEvidence()));
            case WORKSPACE_USAGE ->
                    Optional.of(usage(envelope.getWorkspaceUsage().getRecordsList()));
            case BODY_NOT_SET -> Optional.empty();
        };
    }

    private static PeerMessage heartbeat(long incarnation, PeerHeartbeat heartbeat) {
        return new PeerMessage.Heartbeat(
                incarnation,
                new FailureDomainName(heartbeat.getFailureDomain()),
                heartbeat.getFeedSequence(),
                heartbeat.getConfigurationHash(),
                heartbeat.getStopping(),
                heartbeat.hasConfigurationAgeMilliseconds()
                        ? heartbeat.getConfigurationAgeMilliseconds()
                        : NEVER_NEWEST);
    }

    private static PeerMessage digest(ConfigurationDigest digest) {
        Map<ObjectKey, Long> numbers =
                digest.getVersionsList().stream()
                        .collect(
                                Collectors.toMap(
                                        version -> ObjectKey.parse(version.getObjectKey()),
                                        ObjectVersion::getTicketNumber,
                                        Math::max));
        return new PeerMessage.Digest(digest.getBucket(), digest.getBucketCount(), numbers);
    }

    private static PeerMessage wanted(List<String> keys) {
        return new PeerMessage.ObjectsRequest(keys.stream().map(ObjectKey::parse).toList());
    }

    private static PeerMessage objects(ConfigurationObjects objects) {
        return new PeerMessage.Objects(
                objects.getObjectsList().stream()
                        .flatMap(object -> object(object).stream())
                        .toList());
    }

    /** Reads an object; empty where its state is of a form that this version does not know. */
    private static Optional<VersionedObject> object(ConfigurationObject object) {
        ObjectKey key = ObjectKey.parse(object.getObjectKey());
        if (object.getDeleted()) {
            return Optional.of(
                    new VersionedObject(key, object.getTicketNumber(), Optional.empty()));
        }
        return TicketCodec.readState(key, object.getStateJson().toStringUtf8())
                .map(
                        state ->
                                new VersionedObject(
                                        key, object.getTicketNumber(), Optional.of(state)));
    }

    private static PeerMessage crashes(QuarantineEvidence evidence) {
        return new PeerMessage.Crashes(
                evidence.getCrashesList().stream()
                        .map(
                                crash ->
                                        new CrashEvidence(
                                                crash.getFingerprint(),
                                                new EndpointName(crash.getEndpoint()),
                                                crash.getEndpointGeneration(),
                                                crash.getAlone(),
                                                crash.getAgeMilliseconds()))
                        .toList());
    }

    private static PeerMessage usage(List<WorkspaceUsageRecord> records) {
        return new PeerMessage.Usage(
                records.stream()
                        .collect(
                                Collectors.toMap(
                                        record -> new WorkspaceName(record.getWorkspace()),
                                        record ->
                                                new WorkspaceUsage(
                                                        record.getInFlight(),
                                                        record.getRequestsPerSecond()),
                                        (first, second) -> second)));
    }
}
