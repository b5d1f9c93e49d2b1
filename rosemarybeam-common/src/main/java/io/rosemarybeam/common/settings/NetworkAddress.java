package io.rosemarybeam.common.settings;

import io.netty.util.NetUtil;

/** Checks addresses of processes. Stateless and safe for use by several threads. */
public final class NetworkAddress {
    private static final int MAXIMUM_PORT = 65_535;

    private NetworkAddress() {}

    /**
     * Checks that an address is an IP number with a port.
     *
     * @param address for example {@code 127.0.0.1:7401} or {@code [::1]:7401}
     * @return the address
     * @throws IllegalArgumentException if it is anything else, host names included
     */
    public static String check(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0 || !isIpNumber(address.substring(0, colon)) || !isPort(address.substring(colon + 1))) {
            throw new IllegalArgumentException(
                    "must be an IP number with a port from 1 to " + MAXIMUM_PORT + ", is \"" + address + "\"");
        }
        if (isUnspecified(address.substring(0, colon))) {
            throw new IllegalArgumentException(
                    "must be the IP number of one interface, because other processes are told it, is \"" + address
                            + "\"");
        }
        return address;
    }

    private static boolean isUnspecified(String host) {
        byte[] number =
                NetUtil.createByteArrayFromIpAddressString(host.replace("[", "").replace("]", ""));
        for (byte part : number) {
            if (part != 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isIpNumber(String host) {
        if (host.startsWith("[") && host.endsWith("]")) {
            return NetUtil.isValidIpV6Address(host.substring(1, host.length() - 1));
        }
        return NetUtil.isValidIpV4Address(host);
    }

    private static boolean isPort(String port) {
        if (port.isEmpty() || port.length() > 5 || !port.chars().allMatch(digit -> digit >= '0' && digit <= '9')) {
            return false;
        }
        int number = Integer.parseInt(port);
        return number >= 1 && number <= MAXIMUM_PORT;
    }
}
