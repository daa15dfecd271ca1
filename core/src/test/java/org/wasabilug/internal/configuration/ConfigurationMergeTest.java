package org.wasabilug.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.PoolName;
import org.wasabilug.port.VersionedObject;

class ConfigurationMergeTest {
    private static final int NAMES = 12;
    private static final int POOLS = 3;

    @Provide
    Arbitrary<List<VersionedObject>> objects() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, NAMES),
                        Arbitraries.longs().between(1, NAMES))
                .as(ConfigurationMergeTest::object)
                .list()
                .ofMaxSize(2 * NAMES);
    }

    /** The state depends on name and number alone, as it does where numbers are used once. */
    private static VersionedObject object(int name, long number) {
        ObjectKey key = new ObjectKey(ObjectKind.ENDPOINT, "engine-" + name);
        Endpoint endpoint =
                Endpoint.builder()
                        .name(new EndpointName(key.name()))
                        .pool(new PoolName("pool-" + (name + number) % POOLS))
                        .build();
        return new VersionedObject(
                key, number, number > 2 ? Optional.of(endpoint) : Optional.empty());
    }

    private static Configuration of(Collection<VersionedObject> objects) {
        return Configuration.empty().merge(objects);
    }

    @Property(seed = "42")
    void mergesInAnyOrder(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second) {
        Configuration forward = of(first).merge(second);
        Configuration backward = of(second).merge(first);

        assertSame(forward, backward);
    }

    @Property(seed = "42")
    void mergesInAnyGrouping(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second,
            @ForAll("objects") List<VersionedObject> third) {
        Configuration left = of(first).merge(second).merge(third);
        Configuration right = of(first).merge(of(second).merge(third).objects());

        assertSame(left, right);
    }

    @Property(seed = "42")
    void mergesTheSameTwiceWithoutChange(@ForAll("objects") List<VersionedObject> objects) {
        Configuration once = of(objects);

        Configuration twice = once.merge(objects);

        assertThat(twice).isSameAs(once);
    }

    @Property(seed = "42")
    void leavesTheOlderViewAsItWas(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second) {
        Configuration older = of(first);
        List<VersionedObject> before = new ArrayList<>(older.objects());
        long hash = older.hash();

        older.merge(second);

        assertThat(older.objects()).containsExactlyElementsOf(before);
        assertThat(older.hash()).isEqualTo(hash);
    }

    private static void assertSame(Configuration left, Configuration right) {
        assertThat(byKey(left)).isEqualTo(byKey(right));
        assertThat(left.hash()).isEqualTo(right.hash());
        assertThat(left.objects()).hasSize(byKey(left).size());
        for (int pool = 0; pool < POOLS; pool++) {
            PoolName name = new PoolName("pool-" + pool);
            assertThat(left.endpointsOf(name)).isEqualTo(right.endpointsOf(name));
        }
    }

    private static Map<ObjectKey, VersionedObject> byKey(Configuration configuration) {
        return configuration.objects().stream()
                .collect(Collectors.toMap(VersionedObject::key, Function.identity()));
    }
}
