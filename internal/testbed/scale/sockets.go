package scale

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Byte counts of connections are read from the kernel by socket diagnostics (sock_diag), so that counting costs the measured
// processes nothing.
const (
	sockDiag                 = 4  // NETLINK_SOCK_DIAG
	diagByFamily             = 20 // SOCK_DIAG_BY_FAMILY
	diagInfo                 = 2  // INET_DIAG_INFO
	allStates                = ^uint32(0)
	requestBytes             = 56 // inet_diag_req_v2
	messageBytes             = 72 // inet_diag_msg
	bufferBytes              = 1 << 20
	bytesReceivedOffset      = 128 // offsets in tcp_info
	segmentsInOffset         = 152
	segmentsOutOffset        = 156
	bytesSentOffset          = 200
	bytesRetransmittedOffset = 208
	minInfoBytes             = 216
)

// flow is the traffic of some connections, as seen from their accepting side unless stated otherwise.
type flow struct {
	BytesIn, BytesOut       float64
	SegmentsIn, SegmentsOut float64 // with data
}

func (f *flow) add(o flow) {
	f.BytesIn, f.BytesOut = f.BytesIn+o.BytesIn, f.BytesOut+o.BytesOut
	f.SegmentsIn, f.SegmentsOut = f.SegmentsIn+o.SegmentsIn, f.SegmentsOut+o.SegmentsOut
}

func (f flow) minus(o flow) flow {
	return flow{f.BytesIn - o.BytesIn, f.BytesOut - o.BytesOut, f.SegmentsIn - o.SegmentsIn, f.SegmentsOut - o.SegmentsOut}
}

// reversed returns the same traffic as seen from the other side.
func (f flow) reversed() flow { return flow{f.BytesOut, f.BytesIn, f.SegmentsOut, f.SegmentsIn} }

// socket is a socket as reported by the kernel.
type socket struct {
	cookie            uint64
	local, remote     uint16 // ports
	localIP, remoteIP [4]byte
	flow

	inode uint32
}

// forEachSocket calls a function for each TCP connection over IPv4 of this machine.
func forEachSocket(each func(*socket)) error {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, sockDiag)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer syscall.Close(fd)
	request := make([]byte, syscall.NLMSG_HDRLEN+requestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], diagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	body := request[syscall.NLMSG_HDRLEN:]
	body[0], body[1], body[2] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(diagInfo-1)
	binary.NativeEndian.PutUint32(body[4:], allStates)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return os.NewSyscallError("sendto", err)
	}
	buffer := make([]byte, bufferBytes)
	for {
		n, _, err := syscall.Recvfrom(fd, buffer, 0)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return os.NewSyscallError("recvfrom", err)
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return err
		}
		for _, m := range messages {
			switch m.Header.Type {
			case syscall.NLMSG_DONE:
				return nil
			case syscall.NLMSG_ERROR:
				return fmt.Errorf("read socket diagnostics: kernel returned an error message")
			}
			if s, ok := parseSocket(m.Data); ok {
				each(&s)
			}
		}
	}
}

// parseSocket decodes one message. ok is false for a socket without byte counts, such as one that listens or has ended.
func parseSocket(data []byte) (s socket, ok bool) {
	if len(data) < messageBytes {
		return s, false
	}
	s.local, s.remote = binary.BigEndian.Uint16(data[4:]), binary.BigEndian.Uint16(data[6:])
	copy(s.localIP[:], data[8:])
	copy(s.remoteIP[:], data[24:])
	s.cookie = binary.NativeEndian.Uint64(data[44:])
	s.inode = binary.NativeEndian.Uint32(data[68:])
	for rest := data[messageBytes:]; len(rest) >= syscall.SizeofRtAttr; {
		length, kind := int(binary.NativeEndian.Uint16(rest)), binary.NativeEndian.Uint16(rest[2:])
		if length < syscall.SizeofRtAttr || length > len(rest) {
			return s, false
		}
		if info := rest[syscall.SizeofRtAttr:length]; kind == diagInfo && len(info) >= minInfoBytes {
			s.BytesOut = float64(binary.NativeEndian.Uint64(info[bytesSentOffset:]) - binary.NativeEndian.Uint64(info[bytesRetransmittedOffset:]))
			s.BytesIn = float64(binary.NativeEndian.Uint64(info[bytesReceivedOffset:]))
			s.SegmentsIn = float64(binary.NativeEndian.Uint32(info[segmentsInOffset:]))
			s.SegmentsOut = float64(binary.NativeEndian.Uint32(info[segmentsOutOffset:]))
			return s, true
		}
		rest = rest[min((length+3)&^3, len(rest)):]
	}
	return s, false
}
