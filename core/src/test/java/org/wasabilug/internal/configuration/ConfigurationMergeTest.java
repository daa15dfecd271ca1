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

    /**
     * The state depends only on name and ticket number, as it does if ticket numbers are never
     * reused.
     */
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
    void mergeIsCommutative(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second) {
        Configuration forward = of(first).merge(second);
        Configuration backward = of(second).merge(first);

        assertSame(forward, backward);
    }

    @Property(seed = "42")
    void mergeIsAssociative(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second,
            @ForAll("objects") List<VersionedObject> third) {
        Configuration left = of(first).merge(second).merge(third);
        Configuration right = of(first).merge(of(second).merge(third).objects());

        assertSame(left, right);
    }

    @Property(seed = "42")
    void mergeIsIdempotent(@ForAll("objects") List<VersionedObject> objects) {
        Configuration once = of(objects);

        Configuration twice = once.merge(objects);

        assertThat(twice).isSameAs(once);
    }

    @Property(seed = "42")
    void leavesTheOriginalViewUnchanged(
            @ForAll("objects") List<VersionedObject> first,
            @ForAll("objects") List<VersionedObject> second) {
        Configuration original = of(first);
        List<VersionedObject> before = new ArrayList<>(original.objects());
        long hash = original.hash();

        original.merge(second);

        assertThat(original.objects()).containsExactlyElementsOf(before);
        assertThat(original.hash()).isEqualTo(hash);
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
