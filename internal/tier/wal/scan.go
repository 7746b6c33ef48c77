package wal

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
)

// readHeader tells whether the header is there. A file no longer than a header that isn't one was never synced: not whole.
func readHeader(h Handle, total int64) (whole bool, err error) {
	if total < int64(len(header)) {
		return false, nil
	}
	var got [len(header)]byte
	if _, err := h.ReadAt(got[:], 0); err != nil && err != io.EOF {
		return false, IO.Wrap(err, "read header")
	}
	switch {
	case string(got[:]) == header:
		return true, nil
	case total == int64(len(header)) && string(got[:len(got)-1]) != header[:len(header)-1]:
		return false, nil
	}
	return false, Foreign.New("header %q, not %q", got[:], header)
}

// scan hands each whole record to replay and gives the place where they end: that of the first one torn or damaged, or the end.
func scan(h Handle, total int64, replay func([]byte) error) (end int64, err error) {
	end = int64(len(header))
	r := bufio.NewReaderSize(io.NewSectionReader(h, end, total-end), 64<<10)
	var head [headSize]byte
	for total-end >= headSize {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return end, IO.Wrap(err, "read at %d", end)
		}
		length := int64(binary.LittleEndian.Uint32(head[:4]))
		if length > MaxRecord || length > total-end-headSize {
			return end, nil
		}
		record := make([]byte, length)
		if _, err := io.ReadFull(r, record); err != nil {
			return end, IO.Wrap(err, "read at %d", end)
		}
		sum := crc32.Update(crc32.Checksum(head[:4], castagnoli), castagnoli, record)
		if sum != binary.LittleEndian.Uint32(head[4:]) {
			return end, nil
		}
		if replay != nil {
			if err := replay(record); err != nil {
				return end, err
			}
		}
		end += headSize + length
	}
	return end, nil
}
