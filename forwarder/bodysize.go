package forwarder

// MaxHeldBody returns the longest body, in bytes, that a memory budget of limit bytes can
// hold while nothing else uses it: the largest buffer that readAll can grow to. It is zero
// if limit is not positive or less than the smallest buffer.
func MaxHeldBody(limit int64) int64 {
	size := int64(0)
	for next := int64(initialBodySize); next > 0 && next <= limit; next *= 2 {
		size = next
	}
	return size
}
