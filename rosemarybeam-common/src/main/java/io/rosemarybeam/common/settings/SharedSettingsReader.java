package io.rosemarybeam.common.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.settings.JsonValue.Position;

/** Reads the keys that several settings files share. Confined to the load of one file. */
final class SharedSettingsReader {
    private final SettingsReader reader;
    private final Path folder;
    private final List<Map.Entry<String, Position>> listenAddresses = new ArrayList<>();

    SharedSettingsReader(SettingsReader reader, Path file) {
        this.reader = reader;
        this.folder = file.toAbsolutePath().getParent();
    }

    Optional<HostName> name() {
        return reader.converted("name", text -> HostName.of(PlainName.check(text)));
    }

    Optional<FailureDomain> failureDomain() {
        return reader.converted("failureDomain", text -> FailureDomain.of(PlainName.check(text)));
    }

    /** Reads an address that this process listens on; no two may be equal. */
    Optional<String> listenAddress(String key) {
        Optional<String> address = reader.converted(key, NetworkAddress::check);
        address.ifPresent(found -> listenAddresses.add(Map.entry(found, reader.positionOf(key))));
        return address;
    }

    /** Reads a path; a relative path is resolved against the folder of the settings file. */
    Optional<Path> path(String key) {
        return reader.converted(key, text -> {
            if (text.isBlank()) {
                throw new IllegalArgumentException("must be a path, is blank");
            }
            return folder.resolve(text).normalize();
        });
    }

    void reportDuplicateAddresses() {
        reader.reportDuplicates(listenAddresses, "address");
    }
}
