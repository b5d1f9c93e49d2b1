package io.rosemarybeam.common.settings;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against accepting addresses that need name resolution, or that other processes cannot connect to. */
class NetworkAddressTest {
    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:1", "10.20.30.40:65535", "[::1]:7401", "[fe80::1]:80", "[::ffff:10.0.0.1]:80"})
    void shouldAcceptAddressWhenItIsNumberAndPort(String address) {
        assertEquals(address, NetworkAddress.check(address));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+80", "127.0.0.1:٣",
                "127.1:80", "256.0.0.1:80", "127.0.0.1.2:80", "2130706433:80", "localhost:80", "::1:80", "[::1]",
                        "[]:80",
                "[1::2::3]:80", "[127.0.0.1]:80", "[fe80::1%eth0]:80", " 127.0.0.1:80", "0.0.0.0:80", "[::]:80"
            })
    void shouldRefuseAddressWhenItIsAnythingElse(String address) {
        assertThrows(IllegalArgumentException.class, () -> NetworkAddress.check(address));
    }
}
