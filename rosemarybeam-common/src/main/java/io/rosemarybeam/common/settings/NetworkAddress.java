package io.rosemarybeam.common.settings;

import java.net.InetAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Validates the addresses of processes. Stateless and safe for use by several threads. */
public final class NetworkAddress {
    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

    /** An IPv4 address with all four parts; the class library also accepts shorter forms such as 127.1. */
    private static final Pattern DOTTED_DECIMAL = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");

    private static final Pattern BRACKETED_IPV6 = Pattern.compile("\\[[0-9a-fA-F.]*:[0-9a-fA-F:.]*]");

    private NetworkAddress() {}

    /**
     * Checks that an address is an IP address with a port.
     *
     * @param address for example {@code 127.0.0.1:7401} or {@code [::1]:7401}
     * @return the address
     * @throws IllegalArgumentException if it is anything else, host names included
     */
    public static String check(String address) {
        int colon = address.lastIndexOf(':');
        Optional<InetAddress> number = colon < 0 ? Optional.empty() : parseIpAddress(address.substring(0, colon));
        if (number.isEmpty() || !isPort(address.substring(colon + 1))) {
            throw new IllegalArgumentException(
                    "must be an IP number with a port from 1 to " + MAXIMUM_PORT + ", is \"" + address + "\"");
        }
        if (number.get().isAnyLocalAddress()) {
            throw new IllegalArgumentException(
                    "must be the IP number of one interface, because other processes connect to it, is \"" + address
                            + "\"");
        }
        return address;
    }

    private static Optional<InetAddress> parseIpAddress(String host) {
        boolean bracketed = BRACKETED_IPV6.matcher(host).matches();
        if (!bracketed && !DOTTED_DECIMAL.matcher(host).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.ofLiteral(bracketed ? host.substring(1, host.length() - 1) : host));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static boolean isPort(String port) {
        if (!PORT.matcher(port).matches()) {
            return false;
        }
        int number = Integer.parseInt(port);
        return number >= 1 && number <= MAXIMUM_PORT;
    }
}
