package org.wasabilug.entry;

import java.security.SecureRandom;
import java.time.Instant;
import org.wasabilug.entry.internal.security.HttpEncryption;
import org.wasabilug.entry.internal.security.PeerEncryption;
import org.wasabilug.entry.internal.settings.EntrySettings;
import org.wasabilug.entry.internal.settings.SettingValues;
import org.wasabilug.internal.instance.InstanceSettings;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.SaltedHash;

/** Converts the program's settings into a builder of the daemon. */
final class DaemonSettings {
    private DaemonSettings() {}

    static EntryDaemonBuilder daemonBuilderOf(SettingValues values) {
        EntryDaemonBuilder daemon =
                EntryDaemon.builder()
                        .core(coreSettingsOf(values))
                        .platform(values.uri(EntrySettings.PLATFORM))
                        .peerAddress(values.address(EntrySettings.PEERS_ADDRESS))
                        .instance(instanceBuilderOf(values));
        PeerEncryption.of(values)
                .ifPresent(each -> daemon.peerEncryption(each.server(), each.client()));
        return daemon;
    }

    private static InstanceSettings coreSettingsOf(SettingValues values) {
        long now = Instant.now().toEpochMilli();
        return InstanceSettings.builder()
                .name(new InstanceName(values.text(EntrySettings.NAME).orElseThrow()))
                .failureDomain(
                        new FailureDomainName(
                                values.text(EntrySettings.FAILURE_DOMAIN).orElseThrow()))
                .incarnation(now)
                .seed(now)
                .peerSeeds(values.list(EntrySettings.PEER_SEEDS))
                .build();
    }

    private static EntryInstanceBuilder instanceBuilderOf(SettingValues values) {
        EntryInstanceBuilder instance =
                EntryInstance.builder()
                        .limits(limitsOf(values))
                        .callersAddress(values.address(EntrySettings.CALLERS_ADDRESS))
                        .operatorsAddress(values.address(EntrySettings.OPERATORS_ADDRESS))
                        .notReadyPeriod(values.duration(EntrySettings.NOT_READY_PERIOD));
        values.text(EntrySettings.OPERATOR_KEY)
                .map(key -> SaltedHash.of(key, new SecureRandom()))
                .ifPresent(instance::operatorBootstrapKey);
        HttpEncryption.forCallers(values).ifPresent(instance::encryption);
        HttpEncryption.forOperators(values).ifPresent(instance::operatorsEncryption);
        return instance;
    }

    private static EntryLimits limitsOf(SettingValues values) {
        return EntryLimits.builder()
                .maximumBodyBytes(values.number(EntrySettings.MAXIMUM_BODY))
                .maximumTicketBytes(values.number(EntrySettings.MAXIMUM_TICKET))
                .maximumHeaderBytes(values.number(EntrySettings.MAXIMUM_HEADER))
                .maximumConnections(values.number(EntrySettings.MAXIMUM_CONNECTIONS))
                .maximumStreams(values.number(EntrySettings.MAXIMUM_STREAMS))
                .maximumDeadline(values.duration(EntrySettings.MAXIMUM_DEADLINE))
                .callerBufferCharacters(values.number(EntrySettings.CALLER_BUFFER))
                .maximumAnswerCharacters(values.number(EntrySettings.MAXIMUM_ANSWER))
                .rememberedRequests(values.number(EntrySettings.REMEMBERED_REQUESTS))
                .rememberedDecisions(values.number(EntrySettings.REMEMBERED_DECISIONS))
                .build();
    }
}
