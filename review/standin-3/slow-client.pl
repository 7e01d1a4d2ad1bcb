#!/usr/bin/perl
# A caller that reads the head of its answer at once and the body only after a pause. Its segments are as small as those of any caller outside the machine (1,460
# bytes), so that the kernel's buffers have the size that they have there.
# Usage: slow-client.pl PORT PAUSE_S RECEIVE_BUFFER < REQUEST; prints the answer as far as it came, to its end.
use strict;
use warnings;
use Socket;
my ($port, $pause, $buffer) = @ARGV;
local $/;
my $request = <STDIN>;
socket(my $socket, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($socket, 6, 2, pack("i", 1460)) or die "segment size: $!";
setsockopt($socket, SOL_SOCKET, SO_RCVBUF, pack("i", $buffer)) or die "receive buffer: $!";
connect($socket, sockaddr_in($port, INADDR_LOOPBACK)) or die "connect: $!";
syswrite($socket, $request) == length($request) or die "write: $!";
binmode(STDOUT);
$| = 1;
my ($head, $length, $received) = ("", -1, 0);
while ($length < 0 || $received < $length) {
    my $count = sysread($socket, my $piece, $length < 0 ? 512 : 65536);
    if (!defined $count) { print STDERR "error $!\n"; last; }
    if ($count == 0) { print STDERR "end of the connection\n"; last; }
    print $piece;
    if ($length < 0) {
        $head .= $piece;
        if ($head =~ /^(.*?)\r\n\r\n/s) {
            $length = $1 =~ /content-length: *(\d+)/i ? $1 : 0;
            $received = length($head) - index($head, "\r\n\r\n") - 4;
            select(undef, undef, undef, $pause);
        }
    } else {
        $received += $count;
    }
}
print STDERR "received $received of $length bytes\n";
