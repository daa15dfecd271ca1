package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.TextFormat;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.internal.serving.EndpointGroup;
import org.wasabilug.internal.serving.PieceFailure;
import org.wasabilug.internal.serving.PieceId;
import org.wasabilug.internal.serving.PieceOutcome;
import org.wasabilug.internal.serving.PieceWork;
import org.wasabilug.internal.serving.Repetition;
import org.wasabilug.messages.gateway.Gateway;
import org.wasabilug.messages.gateway.GatewayEnvelope.BodyCase;
import org.wasabilug.messages.gateway.GatewayHeartbeat;
import org.wasabilug.messages.gateway.HeartbeatExchange;
import org.wasabilug.messages.gateway.InstanceState;
import org.wasabilug.messages.gateway.PieceResult;
import org.wasabilug.messages.gateway.StreamOriginReply;
import org.wasabilug.messages.gateway.TableRow;

/** Messages that the software of earlier commits wrote mean the same to this one. */
class EarlierSendersTest {
    private static final long NOW_MILLIS = 100_000;

    @ParameterizedTest
    @ValueSource(strings = {"1361ac0", "6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void everyMessageAndRowHasTheFieldsThatItsSenderWrote(String commit) throws Exception {
        List<RecordedMessage> messages = RecordedMessage.of(commit);

        assertThat(messages).hasSizeGreaterThan(10);
        for (RecordedMessage message : messages) {
            assertThat(text(message)).isEqualTo(message.text());
        }
    }

    /** Fields that the current classes don't know would be printed as numbers. */
    private static String text(RecordedMessage message) throws Exception {
        Descriptor type = Gateway.getDescriptor().findMessageTypeByName(message.type());
        return TextFormat.printer()
                .emittingSingleLine(true)
                .printToString(DynamicMessage.parseFrom(type, message.bytes()))
                .trim();
    }

    @ParameterizedTest
    @CsvSource({
        "1361ac0, false, false, 0",
        "6e665fd, true, true, 0",
        "0f8de7d, true, true, 12",
        "825d41a, true, true, 12",
        "0b4bc6d, true, true, 12"
    })
    void aHeartbeatTellsWhatItsSenderKnowsAndNothingElse(
            String commit, boolean relays, boolean tellsUnreachable, long configuration)
            throws Exception {
        GatewayHeartbeat heartbeat =
                RecordedMessage.envelope(commit, BodyCase.HEARTBEAT).getHeartbeat();

        Set<EndpointGroup> unreachable =
                tellsUnreachable ? Set.of(new EndpointGroup("ledger", "rennes")) : Set.of();
        assertThat(PeerReachability.unreachable(heartbeat)).isEqualTo(unreachable);
        assertThat(heartbeat.getRelaysConnections()).isEqualTo(relays);
        assertThat(heartbeat.hasConfigurationVersion()).isEqualTo(configuration > 0);
        assertThat(heartbeat.getConfigurationVersion()).isEqualTo(configuration);
        assertThat(PeerProcessor.share(heartbeat)).isEqualTo(8.5);
        assertThat(heartbeat.getHeardList()).containsExactly("gateway-1");
        assertThat(heartbeat.getLoads(0).getUnreadTokens()).isEqualTo(4);
    }

    @ParameterizedTest
    @ValueSource(strings = {"6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void aHeartbeatThatOthersPassOnCanBeRead(String commit) throws Exception {
        HeartbeatExchange exchange =
                RecordedMessage.envelope(commit, BodyCase.HEARTBEAT_EXCHANGE)
                        .getHeartbeatExchange();
        InstanceState state = exchange.getStates(0);

        assertThat(exchange.getHeard()).isTrue();
        assertThat(exchange.getWanted()).isTrue();
        assertThat(exchange.getIntervalMilliseconds()).isEqualTo(3_000);
        assertThat(state.getInstance()).isEqualTo("gateway-3");
        assertThat(GatewayHeartbeat.parseFrom(state.getHeartbeat()))
                .isEqualTo(RecordedMessage.envelope(commit, BodyCase.HEARTBEAT).getHeartbeat());
    }

    @ParameterizedTest
    @CsvSource({
        "1361ac0, UNPERMITTED",
        "6e665fd, UNPERMITTED",
        "0f8de7d, UNPERMITTED",
        "825d41a, PERMITTED",
        "0b4bc6d, PERMITTED"
    })
    void aRepeatedPieceAsksTheBudgetAgainUnlessItsSenderTellsOfAPermit(
            String commit, Repetition repetition) throws Exception {
        PieceWork work =
                PieceMessages.work(
                        RecordedMessage.envelope(commit, BodyCase.PIECE_ORDERS)
                                .getPieceOrders()
                                .getOrders(0),
                        NOW_MILLIS);

        assertThat(work)
                .isEqualTo(
                        new PieceWork(
                                new PieceId("request-1", 2, 3),
                                "ledger",
                                "key",
                                List.of("inputs"),
                                NOW_MILLIS + 7_000,
                                13,
                                NOW_MILLIS + 8_000,
                                9.5,
                                "rennes",
                                11_000,
                                repetition,
                                ""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1361ac0", "6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void anOutcomeIsTheResultOrTheReasonThatThereIsNone(String commit) throws Exception {
        List<PieceResult> results =
                RecordedMessage.envelope(commit, BodyCase.PIECE_RESULTS)
                        .getPieceResults()
                        .getResultsList();

        assertThat(results)
                .extracting(PieceMessages::outcome)
                .containsExactly(
                        new PieceOutcome.Produced("handle"),
                        new PieceOutcome.Failed(PieceFailure.NO_ROOM));
        assertThat(PieceMessages.id(results.getFirst())).isEqualTo(new PieceId("request-1", 2, 3));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1361ac0", "6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void aCrashReportTellsTheWholeCrash(String commit) throws Exception {
        CrashObservation crash =
                CrashMessages.observation(
                        RecordedMessage.envelope(commit, BodyCase.CRASH_REPORT).getCrashReport(),
                        NOW_MILLIS);

        assertThat(crash)
                .isEqualTo(
                        new CrashObservation(
                                "ledger-0",
                                "rennes",
                                "ledger",
                                NOW_MILLIS - 5_000,
                                6,
                                1,
                                Set.of(7L)));
    }

    @ParameterizedTest
    @CsvSource({
        "1361ac0, false, false, false",
        "6e665fd, true, false, false",
        "0f8de7d, true, true, true",
        "825d41a, true, true, true",
        "0b4bc6d, true, true, true"
    })
    void aRowWithoutEraAndAReplyWithoutHistorySayNothingOfThem(
            String commit, boolean removed, boolean era, boolean history) throws Exception {
        TableRow row =
                RecordedMessage.envelope(commit, BodyCase.TABLE_ROWS).getTableRows().getRows(0);
        StreamOriginReply reply =
                RecordedMessage.envelope(commit, BodyCase.STREAM_ORIGIN_REPLY)
                        .getStreamOriginReply();

        assertThat(row.getVersion()).isEqualTo(3);
        assertThat(row.getRemoved()).isEqualTo(removed);
        assertThat(row.hasEra()).isEqualTo(era);
        assertThat(reply.getSoftwareVersion()).isEqualTo("v1");
        assertThat(reply.getRecentVersionsList()).containsExactly("v1");
        assertThat(reply.getHistoryComplete()).isEqualTo(history);
    }
}
