package io.rosemarybeam.common.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.configuration.OperatorConfiguration.ControlHost;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.settings.JsonValue;
import io.rosemarybeam.common.settings.JsonValue.Position;
import io.rosemarybeam.common.settings.NetworkAddress;
import io.rosemarybeam.common.settings.PlainName;
import io.rosemarybeam.common.settings.SettingsReader;

/** Reads a list of control hosts. Stateless and safe for use by several threads. */
public final class ControlHostList {
    /** Maximum number of control hosts in a deployment. */
    public static final int MAXIMUM_HOSTS = 7;

    private ControlHostList() {}

    /**
     * Reads a required array of control hosts, which must have distinct names and addresses and an odd length.
     *
     * @param reader reader of the object that contains the array
     * @param key key of the array
     * @return the hosts; invalid ones are omitted
     */
    public static List<ControlHost> read(SettingsReader reader, String key) {
        List<ControlHost> hosts = new ArrayList<>();
        List<Map.Entry<HostName, Position>> names = new ArrayList<>();
        List<Map.Entry<String, Position>> addresses = new ArrayList<>();
        Optional<List<JsonValue>> elements = reader.requiredElements(key);
        for (JsonValue element : elements.orElse(List.of())) {
            reader.objectOf(element).flatMap(ControlHostList::host).ifPresent(host -> {
                hosts.add(host);
                names.add(Map.entry(host.name(), element.position()));
                addresses.add(Map.entry(host.address(), element.position()));
            });
        }
        reader.reportDuplicates(names, "name");
        reader.reportDuplicates(addresses, "address");
        elements.map(List::size)
                .filter(count -> count > MAXIMUM_HOSTS || count % 2 == 0)
                .ifPresent(count -> reader.report(
                        key, "must be an odd number of hosts from 1 to " + MAXIMUM_HOSTS + ", are " + count));
        return hosts;
    }

    private static Optional<ControlHost> host(SettingsReader reader) {
        Optional<HostName> name = reader.converted("name", text -> HostName.of(PlainName.check(text)));
        Optional<String> address = reader.converted("address", NetworkAddress::check);
        Optional<FailureDomain> domain =
                reader.converted("failureDomain", text -> FailureDomain.of(PlainName.check(text)));
        reader.reportUnknownKeys();
        if (name.isEmpty() || address.isEmpty() || domain.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ControlHost(name.get(), address.get(), domain.get()));
    }
}
