package org.cranberrybend.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.cranberrybend.entry.configuration.RoutingConfiguration;
import org.cranberrybend.entry.http.HttpConnector;
import org.cranberrybend.entry.port.Decoder;
import org.cranberrybend.entry.port.HeaderNames;
import org.cranberrybend.entry.port.KeyValueStore;
import org.cranberrybend.entry.port.StoreKeys;
import org.cranberrybend.entry.port.UpstreamOrders;
import org.cranberrybend.entry.port.UsageReports;
import org.cranberrybend.entry.upstream.UpstreamRecord;

/** The adapter to a platform. */
public interface EntryPorts {
    /** Returns the header names of the platform. */
    HeaderNames headerNames();

    /** Returns the keys under which the platform stores the data that the program reads. */
    StoreKeys storeKeys();

    /** Returns the decoder of the configuration. */
    Decoder<RoutingConfiguration> configurationDecoder();

    /** Returns the decoder of the entries of upstreams. */
    Decoder<UpstreamRecord> upstreamDecoder();

    /** Opens the key-value store. */
    KeyValueStore openStore(EventLoopGroup loop, HttpConnector connector, InetSocketAddress address);

    /** Opens the interface for usage reports; empty if the platform has none or does not assign this duty. */
    Optional<UsageReports> openUsageReports(EventLoopGroup loop, HttpConnector connector, EntrySettings settings);

    /** Opens the interface for orders of upstreams; empty if the platform has none or does not assign this duty. */
    Optional<UpstreamOrders> openUpstreamOrders(EventLoopGroup loop, HttpConnector connector, EntrySettings settings);
}
