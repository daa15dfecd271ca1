package org.wasabilug.comparison;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PolicyTargetsTest {
    private static final double SLOW_FACTOR = 4;

    @Test
    void answersInTimeAtEightyPercentOfCapacityWithOneSlowEndpoint() {
        ModelResult result = QueueingModel.run(ModelSettings.product(0.8, SLOW_FACTOR, 1));

        assertThat(result.attainment()).isGreaterThanOrEqualTo(0.999);
        assertThat(result.wastedShare()).isLessThanOrEqualTo(0.03);
    }

    @Test
    void keepsGoodputUnderOverload() {
        ModelSettings settings = ModelSettings.product(1.3, SLOW_FACTOR, 1);

        ModelResult result = QueueingModel.run(settings);

        assertThat(result.goodput(settings)).isGreaterThanOrEqualTo(0.95);
        assertThat(result.wastedShare()).isLessThanOrEqualTo(0.03);
    }

    @Test
    void producesSameResultFromSameSeed() {
        ModelSettings settings = ModelSettings.product(0.95, SLOW_FACTOR, 5);

        assertThat(QueueingModel.run(settings).attainment())
                .isEqualTo(QueueingModel.run(settings).attainment());
    }
}
